/// Time limits of a request to an HTTP server.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

namespace basilpath
{

/// How long a client waits for a response.
struct response_timeouts
{
    /// Until the response begins to arrive.
    milliseconds begin;

    /// Without a byte of a response that has begun.
    milliseconds stall;

    /// Until the response is complete.
    milliseconds total;

    /// Limits for a response that may be large: as long as it keeps arriving it
    /// is not abandoned, since a repeated request would begin from its start.
    [[nodiscard]] static response_timeouts for_transfer(milliseconds begin)
    {
        constexpr milliseconds max_stall{1'000};
        constexpr milliseconds max_transfer_time{3'000};
        return {begin, max_stall, begin + max_transfer_time};
    }
};

} // namespace basilpath
