/// HTTP/1.1 service that hands every request over as an exchange.
#pragma once

#include "connection/http_exchange.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace basilpath
{

/// How an HTTP server listens.
struct http_server_options
{
    /// `ip:port`; port 0 lets the system choose.
    std::string address;
    std::size_t request_limit_bytes = 256U << 10U;

    /// The answer to a request whose body is over the limit.
    http_answer too_large{413, "{}", "application/json", {}};
};

/// Listens until it is destroyed. Used on the io_context's thread.
class http_server
{
public:
    using handler = std::function<void(std::shared_ptr<http_exchange>)>;

    /// Starts to listen; throws `std::runtime_error` when the address cannot
    /// be had.
    http_server(boost::asio::io_context& context,
                const http_server_options& options, handler serve);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port that is listened on.
    [[nodiscard]] std::uint16_t port() const;

    /// Requests whose answer has not been sent yet.
    [[nodiscard]] std::size_t in_flight() const;

    /// From now on every answer asks the caller to close the connection.
    void close_connections();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace basilpath
