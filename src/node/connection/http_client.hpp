/// Calls to one HTTP server on a connection that is kept open.
#pragma once

#include "node/connection/http_types.hpp"
#include "version/ids.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>

namespace basilpath
{

/// One call at a time, for calls that may be repeated.
class node_http_client
{
public:
    /// `address` is `IP:PORT`.
    node_http_client(const boost::asio::any_io_executor& executor,
                     http_address address);

    /// Sends GET `target`. Nothing when there is no whole answer in time;
    /// `last_error` then has the reason, and the connection is closed.
    boost::asio::awaitable<std::optional<http_response>>
    get(std::string target, milliseconds timeout);

    [[nodiscard]] const std::string& last_error() const
    {
        return this->reason;
    }

    /// Ends the call that is under way.
    void close();

private:
    boost::asio::awaitable<bool> connect(milliseconds timeout);
    std::optional<http_response> fail(std::string why);

    http_address address;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    std::string reason;
    bool connected = false;
};

} // namespace basilpath
