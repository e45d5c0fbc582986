#include "load/target_checks.hpp"

#include "load/case_list.hpp"
#include "load/load_plan.hpp"
#include "load/target_record.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <set>

namespace basilpath::load
{

namespace
{

constexpr double leaving_limit_ms = 3'000.0;

using violations = std::vector<violation>;

// Returns the minimum number of leaf requests for a request's final answer.
std::size_t needed_leaf_requests(const check_input& input,
                                 const request_outcome& outcome)
{
    const caller_answer* const answer = outcome.final_answer();
    const traffic_mix& mix = mix_of(input, outcome);
    const service* const wanted = input.configuration.find_service(mix.service);
    if (answer == nullptr || !is_served(answer->code) || wanted == nullptr)
    {
        return 0;
    }
    if (wanted->kind == service_kind::lookup)
    {
        return 1;
    }
    const index_version* const version = version_of(wanted, answer->version);
    return version == nullptr ? 0
                              : version->shards.size() - answer->missing.size();
}

// Sums one counter over all leaves.
std::uint64_t sum(const target_record& record,
                  std::uint64_t leaf_observation::*counter)
{
    return std::accumulate(record.leaves.begin(), record.leaves.end(),
                           std::uint64_t{0},
                           [counter](std::uint64_t total, const auto& leaf)
                           { return total + leaf.second.*counter; });
}

} // namespace

violations check_doubled(const check_input& input)
{
    case_list cases("doubled_execution");
    for (const auto& [key, seen] : input.record.keys)
    {
        if (seen.runs > 1)
        {
            cases.add(fmt::format("key {} ran {} times", key, seen.runs));
        }
    }
    return cases.result();
}

violations check_connections(const check_input& input)
{
    case_list cases("connections_over_limit");
    for (const auto& [id, seen] : input.record.leaves)
    {
        if (seen.peak_connections > seen.connection_limit)
        {
            cases.add(fmt::format("leaf {} had {} connections, limit {}",
                                  id.value, seen.peak_connections,
                                  seen.connection_limit));
        }
    }
    return cases.result();
}

violations check_leaving(const check_input& input)
{
    case_list cases("work_for_leaving_leaf");
    for (const auto& [id, seen] : input.record.leaves)
    {
        if (seen.after_leaving_ms.value_or(0.0) > leaving_limit_ms)
        {
            cases.add(fmt::format("leaf {} received work after {:.0f} ms",
                                  id.value, *seen.after_leaving_ms));
        }
    }
    return cases.result();
}

violations check_crashes(const check_input& input)
{
    std::set<std::string> crashing_subjects;
    for (const auto& outcome : input.outcomes)
    {
        if (mix_of(input, *outcome).poison)
        {
            crashing_subjects.insert(outcome->scheduled.subject);
        }
    }
    const std::uint64_t crashes = sum(input.record, &leaf_observation::crashes);
    case_list cases("leaves_lost_to_one_request");
    const double limit = input.plan.bounds.crashes_per_request *
                         static_cast<double>(crashing_subjects.size());
    if (!crashing_subjects.empty() && static_cast<double>(crashes) > limit)
    {
        cases.add(fmt::format("{} crashes for {} crashing requests", crashes,
                              crashing_subjects.size()));
    }
    return cases.result();
}

double extra_load(const check_input& input)
{
    const std::uint64_t sent = sum(input.record, &leaf_observation::received);
    std::size_t needed = 0;
    for (const auto& outcome : input.outcomes)
    {
        needed += needed_leaf_requests(input, *outcome);
    }
    return needed == 0
               ? 0.0
               : static_cast<double>(sent) / static_cast<double>(needed) - 1.0;
}

violations check_extra_load(const check_input& input)
{
    case_list cases("extra_load");
    const double share = extra_load(input);
    if (input.plan.bounds.extra_load >= 0.0 &&
        share > input.plan.bounds.extra_load)
    {
        cases.add(fmt::format("share of extra requests {:.4f}, bound {:.4f}",
                              share, input.plan.bounds.extra_load));
    }
    return cases.result();
}

} // namespace basilpath::load
