/// An HTTP client with one persistent connection to one server.
#pragma once

#include "node/connection/http_types.hpp"
#include "node/connection/response_timeouts.hpp"
#include "version/ids.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace basilpath
{

/// Sends one request at a time. Only for requests that may be repeated.
class node_http_client
{
public:
    /// A page of the store has at most about a megabyte.
    static constexpr std::uint64_t default_max_body_bytes = 16'000'000;

    /// `address` has the form `IP:PORT`.
    node_http_client(const boost::asio::any_io_executor& executor,
                     http_address address,
                     std::uint64_t max_body_bytes = default_max_body_bytes);

    /// Sends GET `target`. Returns null when no complete response arrives in
    /// time; `last_error` then has the reason, and the connection is closed.
    boost::asio::awaitable<std::optional<http_response>>
    get(std::string target, response_timeouts timeouts);

    /// As above, for a complete response within `timeout`.
    boost::asio::awaitable<std::optional<http_response>>
    get(std::string target, milliseconds timeout)
    {
        return this->get(std::move(target),
                         response_timeouts{timeout, timeout, timeout});
    }

    [[nodiscard]] const std::string& last_error() const
    {
        return this->error_text;
    }

    /// Returns whether the last request failed because its response was longer
    /// than this client accepts.
    [[nodiscard]] bool response_too_long() const
    {
        return this->too_long;
    }

    /// Bytes of responses that have been read so far; grows while a response
    /// arrives.
    [[nodiscard]] std::size_t received_bytes() const
    {
        return this->received;
    }

    /// Closes the connection; a request in progress fails.
    void close();

private:
    boost::asio::awaitable<bool> connect(milliseconds timeout);
    [[nodiscard]] bool has_unread_bytes();
    std::optional<http_response> close_with_error(std::string reason);

    http_address address;
    std::uint64_t max_body_bytes;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string error_text;
    std::size_t received = 0;
    bool too_long = false;
    bool connected = false;
};

} // namespace basilpath
