/// A connection to a replica that carries one call at a time.
#pragma once

#include "node/connection/target_codec.hpp"
#include "node/process/memory_budget.hpp"
#include "node/request/target_call.hpp"
#include "process/instant.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilpath
{

/// Keeps itself alive until the connection has ended. Reports each result and
/// the end of the connection to its owner.
template <target_codec Codec>
class target_connection
    : public std::enable_shared_from_this<target_connection<Codec>>
{
public:
    /// Callbacks to the owner of the connection.
    struct callbacks
    {
        std::function<void(std::shared_ptr<target_connection>)> ready;
        std::function<void(std::shared_ptr<target_call>, target_result)> result;
        std::function<void(std::shared_ptr<target_connection>, bool connected)>
            closed;

        /// Called with the number of bytes sent or received.
        std::function<void(std::size_t)> bytes_transferred;
    };

    /// Answers are held against the account of the replica.
    target_connection(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& address,
                      std::shared_ptr<memory_budget::account> memory,
                      callbacks handlers);

    /// Connects, then reads until the connection ends.
    boost::asio::awaitable<void> run();

    /// Sends a call; the connection must be idle.
    void send(const std::shared_ptr<target_call>& next, instant now);

    /// Closes the connection; its current call ends as `call_end::broken`, or
    /// as `call_end::unsent` when none of its bytes can have left.
    void close();

    /// Returns whether this host closed the connection while it carried a call
    /// that its session had abandoned.
    [[nodiscard]] bool closed_abandoned_call() const
    {
        return this->abandoned_at_close;
    }

    /// Returns whether the connection is established, carries no call and may
    /// carry another one.
    [[nodiscard]] bool idle() const
    {
        return this->connected && !this->call && !this->writing &&
               !this->must_close && this->socket.is_open();
    }

    /// Returns whether bytes have arrived that have not been read. On an idle
    /// connection they answer no call.
    [[nodiscard]] bool has_unread_bytes() const
    {
        boost::system::error_code error;
        return this->socket.available(error) > 0;
    }

    /// Returns whether all answers so far echoed the id of their request. If
    /// not, a copy of one of them can pass for the answer to a later call.
    [[nodiscard]] bool answers_identified() const
    {
        return !this->unidentified_answer;
    }

    [[nodiscard]] const std::shared_ptr<target_call>& carried() const
    {
        return this->call;
    }

    /// Returns when the connection became idle or began to connect.
    [[nodiscard]] instant state_since() const
    {
        return this->idle_or_connecting_since;
    }

    [[nodiscard]] bool connecting() const
    {
        return !this->connected;
    }

    /// Returns how long the replica keeps the connection open while idle.
    [[nodiscard]] milliseconds keep_alive_timeout() const
    {
        return this->replica_keep_alive;
    }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> read();
    bool parse();
    void parse_eof();
    [[nodiscard]] bool has_valid_status() const;
    bool finish_response();
    void check_attribution(target_reply& reply);
    bool charge_memory();
    [[nodiscard]] std::size_t undelivered_bytes();
    void log_early_answer(const target_reply& reply,
                          std::size_t undelivered) const;
    void complete(target_result result);
    void start_parser();
    void close_socket();
    static instant now();

    boost::asio::ip::tcp::socket socket;
    boost::asio::ip::tcp::endpoint address;
    std::shared_ptr<memory_budget::account> memory;
    callbacks handlers;
    boost::beast::flat_buffer buffer;

    /// The bytes of the answer that is being read.
    std::shared_ptr<memory_charge> charge;
    std::optional<parser> response;
    std::shared_ptr<target_call> call;

    /// Must not change while `writing`.
    std::string request_bytes;

    /// Number of them that the kernel has taken.
    std::size_t sent_bytes = 0;
    connection_use use;
    instant idle_or_connecting_since{};
    milliseconds replica_keep_alive;
    bool connected = false;

    /// Whether the request is still being sent, perhaps after its answer.
    bool writing = false;

    /// Whether sending failed before a byte of the request had left.
    bool nothing_sent = false;

    bool abandoned_at_close = false;

    /// Whether the connection must not carry another call.
    bool must_close = false;

    /// Whether an answer has come that did not echo the id of its request.
    bool unidentified_answer = false;
};

} // namespace basilpath
