#include "node/process/forward_policy.hpp"

#include "node/process/request_timing.hpp"

namespace basilpath
{

namespace
{

// Later than for a query over shards: a repeat of the whole request costs more
// than one of a shard.
constexpr hedge_bounds hedging{0.4, 0.6};

} // namespace

forward_plan plan_forward(const route& rule, const forward_times& times)
{
    forward_plan plan;
    plan.hedge_delay = hedge_wait(rule, times.slow, hedging);
    plan.objective = times.arrived + rule.objective;
    plan.deadline = answer_deadline(rule, times.arrived, times.caller_timeout);
    return plan;
}

} // namespace basilpath
