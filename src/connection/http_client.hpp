/// HTTP/1.1 requests through libcurl's multi interface on an io_context.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace basilpath
{

/// How far a request got.
enum class http_outcome : std::uint8_t
{
    answered,       ///< a whole response was read
    connect_failed, ///< no connection; no byte of the request left
    timed_out,      ///< the time ran out after the request may have left
    dropped         ///< the connection ended before a whole response
};

/// One request. Only `ip:port` addresses are used, so nothing is resolved.
struct http_request
{
    std::string method = "POST";
    std::string url;
    std::string body;
    std::chrono::microseconds timeout{1'000'000};

    /// Uses a new connection, so that libcurl cannot send the request a second
    /// time when a kept connection turns out dead.
    bool fresh_connection = false;

    /// Kept connections older than this are closed instead of used; zero for
    /// no limit.
    std::chrono::seconds connection_age_limit{0};
};

/// What became of a request.
struct http_reply
{
    http_outcome outcome = http_outcome::connect_failed;
    int status = 0;
    std::string body;
    std::string error;

    /// Whether the request had to set up a connection.
    bool new_connection = false;
};

/// Runs requests side by side on one thread. Connections are kept and reused
/// per address; a request sets up another only when all are in use, so the
/// caller bounds connections by bounding its requests in progress.
class http_client
{
public:
    explicit http_client(boost::asio::io_context& context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Limits the connections to any one address; zero for no limit. At the
    /// limit an idle connection makes way for a new one, or a request waits.
    void limit_connections(std::uint32_t most);

    /// Runs one request to its end. Never throws for a network failure.
    boost::asio::awaitable<http_reply> send(http_request request);

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace basilpath
