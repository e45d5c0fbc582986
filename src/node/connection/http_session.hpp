/// One connection of a caller: reads requests and sends the answers in order.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/connection/http_types.hpp"
#include "node/process/memory_budget.hpp"
#include "node/version/route_table.hpp"
#include "process/instant.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilpath
{

/// Answers one request. The second argument reports whether the caller is still
/// connected.
using http_handler = std::function<boost::asio::awaitable<http_response>(
    std::shared_ptr<http_request>, std::shared_ptr<caller_presence>)>;

/// State shared by the sessions of one server.
struct http_server_state
{
    http_handler handler;
    caller_limits limits;

    /// Holds the requests of callers; null to leave them uncounted.
    std::shared_ptr<memory_budget::account> memory;

    /// Whether responses announce that the connection closes, unless another
    /// request has arrived.
    bool draining = false;
};

/// Keeps itself alive until its connection has ended.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    http_session(boost::asio::ip::tcp::socket socket,
                 std::shared_ptr<http_server_state> server);

    /// Serves requests until either side closes the connection.
    boost::asio::awaitable<void> run();

    /// Closes the connection when it has exceeded the idle timeout, or the
    /// header timeout while a request is being read, or when the caller has
    /// taken no part of an answer for as long as the idle timeout. An idle
    /// connection on which a request has arrived serves it first.
    void close_if_expired(instant now);

    /// Closes the connection unless a request is being read or answered, has
    /// arrived, or is likely on its way on a new connection, or the caller has
    /// not received the last answer.
    void close_if_idle();

    /// Closes the connection at once.
    void close();

    /// Returns whether a request is being read or answered, or has arrived.
    [[nodiscard]] bool unfinished() const;

    /// Logs what the connection holds while its request is unfinished.
    void log_unfinished(instant now) const;

    /// Returns whether a request is being answered.
    [[nodiscard]] bool busy() const
    {
        return this->answering;
    }

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] std::size_t buffer_limit() const;
    boost::asio::awaitable<bool> read_request(parser& request);
    bool charge_memory(const parser& request);
    boost::asio::awaitable<void> await_delivery();
    [[nodiscard]] milliseconds stall_limit() const;
    void end_read();
    [[nodiscard]] bool must_end() const;
    boost::asio::awaitable<void> await_answer();
    boost::asio::awaitable<bool> write(http_response response);
    boost::asio::awaitable<void> reject(const boost::system::error_code& why);
    void start_handler(std::shared_ptr<http_request> request);
    [[nodiscard]] std::string current_request() const;
    [[nodiscard]] std::size_t unread_bytes() const;
    void log_unread() const;

    boost::asio::ip::tcp::socket socket;
    std::shared_ptr<http_server_state> server;
    boost::beast::flat_buffer buffer;

    /// The bytes of the request that is being read; null if not counted.
    std::shared_ptr<memory_charge> charge;
    std::shared_ptr<caller_presence> caller;

    /// The handler's response; null until the handler has finished.
    std::optional<http_response> answer;
    boost::asio::cancellation_signal answer_ready;

    bool answering = false;

    /// Whether an answer is being sent.
    bool sending = false;

    /// Whether this connection has carried a request.
    bool used = false;

    /// Whether part of a request has been read.
    bool reading = false;

    /// Whether the connection is to be closed instead of read again.
    bool ending = false;
    instant waiting_since{};
};

} // namespace basilpath
