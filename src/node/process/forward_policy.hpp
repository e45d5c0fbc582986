/// When a forwarded request is sent to a second replica, and when it ends.
#pragma once

#include "node/version/route.hpp"
#include "process/instant.hpp"

namespace basilpath
{

/// The points in time of one request.
struct forward_plan
{
    /// A request that may be repeated is sent to a second replica when the
    /// first has been quiet for this long.
    microseconds hedge_delay{0};

    /// Until then the answer earns full credit.
    instant objective{};

    /// The last moment for an answer.
    instant deadline{};
};

/// What a plan is made from.
struct forward_times
{
    instant arrived{};

    /// How much longer the caller waits.
    milliseconds caller_timeout{0};

    /// What slow calls of the route take.
    microseconds slow{0};
};

[[nodiscard]] forward_plan plan_forward(const route& rule,
                                        const forward_times& times);

} // namespace basilpath
