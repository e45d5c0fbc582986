#include "node/process/gather_policy.hpp"

#include "node/process/request_timing.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Earlier hedges waste the retry budget, later ones miss the objective.
constexpr hedge_bounds hedge_limits{0.12, 0.35};

// Time reserved to merge and send the answer, and for other work that the host
// has queued at that moment.
constexpr microseconds answer_overhead = 4ms;

} // namespace

gather_plan plan_gather(const route& rule, const gather_times& times)
{
    gather_plan plan;
    plan.hedge_delay = bounded_hedge_delay(rule, times.slow, hedge_limits);
    plan.deadline = answer_deadline(rule, times.arrived, times.caller_timeout);
    plan.unsent_deadline =
        std::min(times.arrived + rule.objective, plan.deadline);
    const microseconds left =
        rule.objective - times.spent - times.reply_delay - answer_overhead;
    plan.cutoff = times.arrived + std::max(left, 0us);
    return plan;
}

bool is_hedge_useful(const gather_plan& plan, instant now,
                     microseconds expected)
{
    return now >= plan.cutoff || now + expected <= plan.cutoff;
}

bool finds_room(const replica_health& health, instant now, bool room_scarce)
{
    if (!health.report_age(now))
    {
        return !room_scarce;
    }
    const double calls = static_cast<double>(health.outstanding()) +
                         health.external_requests(now);
    return !room_scarce && calls + 1.0 <= static_cast<double>(health.slots());
}

std::size_t parts_needed(const gather_rule& rule)
{
    const double share =
        rule.least.value * static_cast<double>(rule.shards.size());
    // Tolerates rounding errors: a share of 0.9 of 20 must be 18.
    constexpr double rounding = 1e-9;
    const auto least = static_cast<std::size_t>(std::ceil(share - rounding));
    return std::max<std::size_t>(least, 1);
}

} // namespace basilpath
