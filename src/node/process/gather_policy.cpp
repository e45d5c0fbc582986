#include "node/process/gather_policy.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Bounds on the wait before a second replica is asked, as shares of the
// objective: sooner wastes the budget of repeats, later misses the objective.
constexpr double least_hedge_share = 0.12;
constexpr double most_hedge_share = 0.35;

// Time for merging and sending the answer, and for the other work that a host
// may have in hand at that moment.
constexpr microseconds answer_work = 4ms;

// Time kept before the end so that a refusal still reaches the caller.
constexpr microseconds deadline_margin = 20ms;

microseconds share_of(milliseconds whole, double share)
{
    return microseconds(static_cast<std::int64_t>(
        share * 1000.0 * static_cast<double>(whole.count())));
}

} // namespace

gather_plan plan_gather(const route& rule, const gather_times& times)
{
    gather_plan plan;
    plan.hedge_after =
        std::clamp(times.slow, share_of(rule.objective, least_hedge_share),
                   share_of(rule.objective, most_hedge_share));
    const milliseconds patience = std::min(times.patience, rule.timeout);
    plan.deadline = times.arrived + patience - deadline_margin;
    const microseconds left =
        rule.objective - times.spent - times.return_trip - answer_work;
    plan.cutoff = times.arrived + std::max(left, 0us);
    return plan;
}

std::size_t parts_needed(const gather_rule& rule)
{
    const double share =
        rule.least.value * static_cast<double>(rule.shards.size());
    // A share such as 0.9 of 20 is meant to be 18, whatever the rounding.
    constexpr double rounding = 1e-9;
    const auto least = static_cast<std::size_t>(std::ceil(share - rounding));
    return std::max<std::size_t>(least, 1);
}

} // namespace basilpath
