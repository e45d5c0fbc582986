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

// Sooner wastes the budget of repeats, later misses the objective.
constexpr hedge_bounds hedging{0.12, 0.35};

// Time for merging and sending the answer, and for the other work that a host
// may have in hand at that moment.
constexpr microseconds answer_work = 4ms;

} // namespace

gather_plan plan_gather(const route& rule, const gather_times& times)
{
    gather_plan plan;
    plan.hedge_delay = hedge_wait(rule, times.slow, hedging);
    plan.deadline = answer_deadline(rule, times.arrived, times.caller_timeout);
    plan.unsent_deadline =
        std::min(times.arrived + rule.objective, plan.deadline);
    const microseconds left =
        rule.objective - times.spent - times.reply_delay - answer_work;
    plan.cutoff = times.arrived + std::max(left, 0us);
    return plan;
}

bool is_hedge_useful(const gather_plan& plan, instant now,
                     microseconds expected)
{
    return now >= plan.cutoff || now + expected <= plan.cutoff;
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
