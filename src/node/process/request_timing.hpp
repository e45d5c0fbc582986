/// Points in time that all kinds of requests reckon alike.
#pragma once

#include "node/version/route.hpp"
#include "process/instant.hpp"

namespace basilpath
{

/// Bounds on the wait before a second replica is asked, as shares of the
/// objective of a route.
struct hedge_bounds
{
    double least_share = 0.0;
    double most_share = 1.0;
};

/// How long after a call a second replica is asked: what slow calls of the
/// route take, within the bounds.
[[nodiscard]] microseconds hedge_wait(const route& rule, microseconds slow,
                                      const hedge_bounds& bounds);

/// The last moment for an answer, early enough that a refusal still reaches a
/// caller that waits for `caller_timeout`.
[[nodiscard]] instant answer_deadline(const route& rule, instant arrived,
                                      milliseconds caller_timeout);

} // namespace basilpath
