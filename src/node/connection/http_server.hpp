/// An HTTP server on one address.
#pragma once

#include "node/connection/http_session.hpp"
#include "process/instant.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

/// Must be used on the thread that runs its io_context.
class node_http_server
{
public:
    /// Listens on `address`, which has the form `IP:PORT`. Throws
    /// std::runtime_error when the address is invalid or cannot be bound.
    node_http_server(boost::asio::io_context& context,
                     const std::string& address, http_handler handler);

    /// Closes all connections. The handler is not called again.
    ~node_http_server();
    node_http_server(const node_http_server&) = delete;
    node_http_server& operator=(const node_http_server&) = delete;

    /// Starts accepting connections.
    void start();

    /// Sets the account that holds later requests.
    void set_memory(std::shared_ptr<memory_budget::account> holder);

    /// Sets the limits of later requests.
    void set_limits(const caller_limits& limits);

    /// Makes every later response close its connection.
    void start_draining();

    /// Closes the connections on which no request is being read or answered, or
    /// has arrived.
    void close_idle();

    /// Closes the connections that have exceeded a timeout at `now`.
    void close_expired(instant now);

    /// Stops accepting connections; those that are established are served.
    void stop_accepting();

    /// Logs each connection on which a request is being read or answered, as
    /// the process ends; the number of lines is bounded.
    void log_unfinished() const;

    /// Returns the number of connections on which a request is being answered.
    [[nodiscard]] std::size_t busy_count() const;

    /// Returns the bound address, with the port that the kernel chose when the
    /// configured port is 0.
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const;

    /// Returns the number of open connections.
    [[nodiscard]] std::size_t connection_count() const;

private:
    class listener;
    std::shared_ptr<listener> self;
};

} // namespace basilpath
