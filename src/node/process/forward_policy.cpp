#include "node/process/forward_policy.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Bounds on the wait before a second replica is asked, as shares of the
// objective.
constexpr double least_hedge_share = 0.4;
constexpr double most_hedge_share = 0.6;

// Time kept before the end so that a refusal still reaches the caller.
constexpr microseconds deadline_margin = 20ms;

microseconds share_of(milliseconds whole, double share)
{
    return microseconds(static_cast<std::int64_t>(
        share * 1000.0 * static_cast<double>(whole.count())));
}

} // namespace

forward_plan plan_forward(const route& rule, const forward_times& times)
{
    forward_plan plan;
    plan.hedge_after =
        std::clamp(times.slow, share_of(rule.objective, least_hedge_share),
                   share_of(rule.objective, most_hedge_share));
    plan.objective = times.arrived + rule.objective;
    plan.deadline = times.arrived + std::min(times.patience, rule.timeout) -
                    deadline_margin;
    return plan;
}

} // namespace basilpath
