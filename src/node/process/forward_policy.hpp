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

} // namespace basilpath
