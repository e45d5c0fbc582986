/// Listens on one address and serves its connections.
#pragma once

#include "node/connection/http_session.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

/// Used on the thread of its io_context.
class node_http_server
{
public:
    /// Listens on `address`, `IP:PORT`. Throws std::runtime_error when that
    /// is not possible.
    node_http_server(boost::asio::io_context& context,
                     const std::string& address, http_handler handler);

    /// Closes all connections; the handler is not called again.
    ~node_http_server();
    node_http_server(const node_http_server&) = delete;
    node_http_server& operator=(const node_http_server&) = delete;

    /// Starts to accept connections.
    void start();

    /// Takes the limits for requests to come.
    void set_limits(const caller_limits& limits);

    /// From now on each answer ends its connection.
    void start_draining();

    /// Closes the connections that wait for a request.
    void close_idle();

    /// Stops to accept connections.
    void stop_accepting();

    /// Connections on which a request is being answered.
    [[nodiscard]] std::size_t busy_count() const;

    /// Where it listens; tells the port when the address left it open.
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const;

    /// Open connections.
    [[nodiscard]] std::size_t connection_count() const;

private:
    class listener;
    std::shared_ptr<listener> self;
};

} // namespace basilpath
