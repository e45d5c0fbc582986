/// Waiting for the one reply of another process.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/reply_router.hpp"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <memory>
#include <optional>

namespace basilpath
{

/// How often a peer that is to reply is checked.
inline constexpr microseconds peer_check_interval{20'000};

/// Returns the first reply, or nothing at the deadline or as soon as the peer
/// is held for lost.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<std::optional<peer_message>>
await_reply(std::shared_ptr<typename reply_router<Runtime>::box> replies,
            const Transport& transport, peer_address from,
            typename Runtime::clock::time_point deadline)
{
    while (Runtime::clock::now() < deadline)
    {
        const auto next_check = Runtime::clock::now() + peer_check_interval;
        auto reply =
            co_await replies->pop_until(std::min(deadline, next_check));
        if (reply || !transport.responsive(from))
        {
            co_return reply;
        }
    }
    co_return replies->take();
}

} // namespace basilpath
