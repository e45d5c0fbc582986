/// Timing that all kinds of requests share.
#pragma once

#include "node/version/route.hpp"
#include "process/instant.hpp"

namespace basilpath
{

/// Bounds on the delay of a hedged call, as shares of the objective of a route.
struct hedge_bounds
{
    double min_share = 0.0;
    double max_share = 1.0;
};

/// Returns the delay of a hedged call: the latency of the route's slow calls,
/// within the bounds.
[[nodiscard]] microseconds bounded_hedge_delay(const route& rule,
                                               microseconds slow,
                                               const hedge_bounds& bounds);

/// Returns the latest time for an answer, early enough for a refusal to reach a
/// caller that waits for `caller_timeout`.
[[nodiscard]] instant answer_deadline(const route& rule, instant arrived,
                                      milliseconds caller_timeout);

} // namespace basilpath
