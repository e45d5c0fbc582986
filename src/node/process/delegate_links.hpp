/// Connections to the hosts that gather for this one.
#pragma once

#include "node/connection/frame_connection.hpp"
#include "node/process/delegate_pool.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/request/subquery.hpp"
#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>

namespace basilpath
{

/// Keeps one connection open to each link target of the pool and passes
/// messages between pool and hosts. Not thread-safe.
class delegate_links
{
public:
    delegate_links(boost::asio::io_context& context, traffic_meter& traffic)
        : context(context), traffic(traffic)
    {
    }

    /// Starts to open and maintain the links.
    void start(delegate_pool& pool);

    /// Sends a message over the link to a host. Returns its position, or
    /// nothing when it is dropped because there is no link.
    std::optional<stream_position> send(const peer_address& host,
                                        const link_message& message);

private:
    /// A link, and the earliest time of the next attempt to open it.
    struct link
    {
        std::shared_ptr<frame_connection> connection;
        instant next_attempt{};
    };

    boost::asio::awaitable<void> maintain();
    void open(const peer_address& host, link& target);
    void close_stale(instant now);

    boost::asio::io_context& context;
    traffic_meter& traffic;
    delegate_pool* pool = nullptr;
    std::map<peer_address, link> links;
};

} // namespace basilpath
