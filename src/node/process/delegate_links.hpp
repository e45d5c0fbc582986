/// Links to the hosts that gather for this one.
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

namespace basilpath
{

/// Keeps one connection to each host that the pool wants linked, and carries
/// messages between them. Used on one thread.
class delegate_links
{
public:
    delegate_links(boost::asio::io_context& context, traffic_meter& traffic)
        : context(context), traffic(traffic)
    {
    }

    /// Starts to open links.
    void start(delegate_pool& pool);

    /// Sends a message over the link to a host, if it stands.
    void send(const peer_address& host, const link_message& message);

private:
    /// A link, and when the next attempt may be made to open it.
    struct link
    {
        std::shared_ptr<frame_connection> connection;
        instant next_attempt{};
    };

    boost::asio::awaitable<void> follow();
    void open(const peer_address& host, link& made);
    void close_spent(instant now);

    boost::asio::io_context& context;
    traffic_meter& traffic;
    delegate_pool* pool = nullptr;
    std::map<peer_address, link> links;
};

} // namespace basilpath
