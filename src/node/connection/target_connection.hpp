/// One connection to a replica; carries one call at a time.
#pragma once

#include "node/connection/target_codec.hpp"
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

/// Keeps itself alive until the connection has ended. The owner is told of each
/// result and of the end.
template <target_codec Codec>
class target_connection
    : public std::enable_shared_from_this<target_connection<Codec>>
{
public:
    /// What the owner of the connection is told.
    struct callbacks
    {
        std::function<void(std::shared_ptr<target_connection>)> ready;
        std::function<void(std::shared_ptr<target_call>, target_result)> result;
        std::function<void(std::shared_ptr<target_connection>, bool made)>
            closed;

        /// Told of bytes that were sent or received.
        std::function<void(std::size_t)> bytes_transferred;
    };

    target_connection(const boost::asio::any_io_executor& executor,
                      const boost::asio::ip::tcp::endpoint& address,
                      callbacks told);

    /// Connects, then reads until the connection ends.
    boost::asio::awaitable<void> run();

    /// Sends a call; the connection must be idle.
    void send(const std::shared_ptr<target_call>& next, instant now);

    /// Ends the connection; a call on it is broken.
    void close();

    /// Connected, and without a call.
    [[nodiscard]] bool idle() const
    {
        return this->made && !this->call && this->socket.is_open();
    }

    [[nodiscard]] const std::shared_ptr<target_call>& carried() const
    {
        return this->call;
    }

    /// Since when it has been idle, or since when it has been connecting.
    [[nodiscard]] instant state_since() const
    {
        return this->changed;
    }

    [[nodiscard]] bool connecting() const
    {
        return !this->made;
    }

    /// How long the replica keeps it when idle.
    [[nodiscard]] milliseconds keep_alive_timeout() const
    {
        return this->kept;
    }

private:
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<void> read();
    bool parse();
    void parse_end();
    bool finish_response();
    void complete(target_result result);
    void start_parser();
    static instant now();

    boost::asio::ip::tcp::socket socket;
    boost::asio::ip::tcp::endpoint address;
    callbacks told;
    boost::beast::flat_buffer buffer;
    std::optional<parser> response;
    std::shared_ptr<target_call> call;
    std::string outgoing;
    instant changed{};
    milliseconds kept;
    bool made = false;

    /// No further call may use the connection.
    bool spoiled = false;
};

} // namespace basilpath
