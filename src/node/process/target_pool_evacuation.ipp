/// The part of `target_pool` that begins and ends evacuations of failure
/// domains. Included by target_pool.ipp.
#include "node/process/target_pool.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <vector>

namespace basilpath
{

template <target_codec Codec>
void target_pool<Codec>::set_evacuation(const failure_domain& domain,
                                        bool in_force, store_position as_of)
{
    const instant time = now();
    const auto lasted = this->evacuated.set(domain, in_force, as_of, time);
    if (!lasted)
    {
        return;
    }

    // Step 1. Mark the replicas, so that no session chooses one of them.
    std::vector<entry_pointer> affected;
    std::ranges::copy_if(this->replicas.all() | std::views::values,
                         std::back_inserter(affected),
                         [&domain](const entry_pointer& one)
                         { return one->target.domain == domain; });
    for (const entry_pointer& one : affected)
    {
        one->evacuated = in_force;
        const service_rule* const rule = this->rule_of(*one);
        if (!in_force && rule && !one->health.cold(time + rule->cold_time))
        {
            // Without work it became cold, until it says otherwise.
            this->set_warmup(one, rule->cold_time);
            one->assumed_cold_at = as_of;
        }
    }

    // Step 2. Return the calls that wait for them to their sessions.
    std::size_t moved = 0;
    std::size_t closed = 0;
    for (const entry_pointer& one : affected)
    {
        if (in_force)
        {
            const auto calls = one->waiting.take_all();
            moved += calls.size();
            closed += one->close_idle();
            one->fail_unsent(calls, time);
        }
    }
    this->evacuated.count_moved_calls(moved);
    log_event(log_level::info,
              in_force ? "domain_evacuated" : "domain_restored",
              {{"domain", domain.value},
               {"era", as_of.era.value},
               {"revision", as_of.revision},
               {"replicas", affected.size()},
               {"calls_moved", moved},
               {"connections_closed", closed},
               {"lasted_ms", lasted->count()}});
}

} // namespace basilpath
