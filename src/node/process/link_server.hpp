/// Takes links of other hosts.
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

/// Listens on one address and greets on each link. Used on one thread.
class link_server
{
public:
    using sender = std::function<void(const link_message&)>;

    /// What the owner keeps for one link.
    struct link_handler
    {
        /// Takes a message; false when the link should end.
        std::function<bool(const link_message&)> take;
        std::function<void()> closed;
    };

    /// Makes the handler of a new link, which sends through the function.
    using handler_factory = std::function<link_handler(sender)>;

    /// Listens on `address`. Throws std::runtime_error when that is not
    /// possible.
    link_server(boost::asio::io_context& context, const peer_address& address,
                traffic_meter& traffic, handler_factory make);

    /// Starts to accept links.
    void start();

    /// Where it listens; tells the port when the address left it open.
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
    handler_factory make;
};

} // namespace basilpath
