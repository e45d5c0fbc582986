#include "node/process/forward_policy.hpp"

#include "node/process/request_timing.hpp"

namespace basilpath
{

namespace
{

// Later than for a query over shards, as repeating a whole request costs more
// than repeating one shard.
constexpr hedge_bounds hedge_limits{0.4, 0.6};

} // namespace

forward_plan plan_forward(const route& rule, const forward_times& times)
{
    forward_plan plan;
    plan.hedge_delay = bounded_hedge_delay(rule, times.slow, hedge_limits);
    plan.objective = times.arrived + rule.objective;
    plan.deadline = answer_deadline(rule, times.arrived, times.caller_timeout);
    return plan;
}

} // namespace basilpath
