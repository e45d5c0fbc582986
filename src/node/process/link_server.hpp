/// Accepts links of other hosts.
#pragma once

#include "node/connection/frame_connection.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/request/subquery.hpp"
#include "version/ids.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace basilpath
{

/// Listens on one address and sends a hello on each link. Not thread-safe.
class link_server
{
public:
    using sender = std::function<void(const link_message&)>;

    /// Callbacks of the owner for one link.
    struct link_handler
    {
        /// Handles a message; returns false to close the link.
        std::function<bool(const link_message&)> take;
        std::function<void()> closed;
    };

    /// Makes the handler of a new link, which sends through the given function.
    using handler_factory = std::function<link_handler(sender)>;

    /// Listens on `address`. Throws std::runtime_error if `address` cannot be
    /// parsed or bound.
    link_server(boost::asio::io_context& context, const peer_address& address,
                traffic_meter& traffic, handler_factory make_handler);

    void start();

    /// The bound endpoint, with the port that was assigned if the address has
    /// port 0.
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const
    {
        return this->acceptor.local_endpoint();
    }

private:
    boost::asio::awaitable<void> accept();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    traffic_meter& traffic;
    handler_factory make_handler;
};

} // namespace basilpath
