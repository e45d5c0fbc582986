/// Times at which a forwarded request is hedged and ends.
#pragma once

#include "node/version/route.hpp"
#include "process/instant.hpp"

namespace basilpath
{

/// Timing of one request.
struct forward_plan
{
    /// Delay after which a request that may be repeated is sent to a second
    /// replica if the first has not answered.
    microseconds hedge_delay{0};

    /// An answer up to this time earns full credit.
    instant objective{};

    /// Latest time for an answer.
    instant deadline{};
};

/// Inputs of a plan.
struct forward_times
{
    instant arrived{};

    /// Remaining time that the caller waits.
    milliseconds caller_timeout{0};

    /// Latency of the slow calls of the route.
    microseconds slow{0};
};

[[nodiscard]] forward_plan plan_forward(const route& rule,
                                        const forward_times& times);

/// Returns whether a status states to the caller that its request has not run
/// and will not: Request Timeout, Misdirected Request, Too Many Requests and
/// Service Unavailable.
[[nodiscard]] constexpr bool states_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace basilpath
