/// One connection of a caller: reads requests, has them answered in order.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/connection/http_types.hpp"
#include "node/version/route_table.hpp"
#include "process/instant.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace basilpath
{

/// Answers one request. The presence tells when the caller has gone.
using http_handler = std::function<boost::asio::awaitable<http_response>(
    std::shared_ptr<http_request>, std::shared_ptr<caller_presence>)>;

/// What the sessions of one server share.
struct http_server_state
{
    http_handler handler;
    caller_limits limits;

    /// Answers say that the connection closes.
    bool draining = false;
};

/// Keeps itself alive until the connection has ended.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<http_server_state> server);

    /// Serves the connection until either side ends it.
    boost::asio::awaitable<void> run();

    /// Closes the connection if it has been idle, or slow to send a request,
    /// for too long.
    void close_if_expired(instant now);

    /// Closes the connection unless a request is being read or answered.
    void close_if_idle();

    /// Ends the connection at once.
    void close();

    /// Tells whether a request is being answered.
    [[nodiscard]] bool busy() const
    {
        return this->answering;
    }

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> read_request(parser& request);
    boost::asio::awaitable<void> await_answer();
    boost::asio::awaitable<bool> write(http_response response);
    boost::asio::awaitable<void> reject(const boost::system::error_code& why);
    void start_handler(std::shared_ptr<http_request> request);

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<http_server_state> server;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<caller_presence> presence;

    /// Answer of the handler, once it has one.
    std::optional<http_response> answer;
    boost::asio::cancellation_signal answered;

    bool answering = false;

    /// A request has come on this connection.
    bool used = false;

    /// A part of a request has been read.
    bool reading = false;
    instant waiting_since{};
};

} // namespace basilpath
