/// A TCP connection between two hosts that carries messages both ways.
#pragma once

#include "node/connection/stream_position.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// Each message is a frame: its length as a 32-bit big-endian integer, then the
/// message. The object keeps itself alive until the connection has ended. A
/// frame that is too long or that the owner rejects ends only this connection.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// Callbacks to the owner of the connection.
    struct callbacks
    {
        std::function<void()> opened;

        /// Handles a message; returns false when it is malformed.
        std::function<bool(std::string_view)> message;

        /// Called once, after the connection and its last write have ended.
        std::function<void()> closed;
    };

    frame_connection(boost::asio::ip::tcp::socket socket, callbacks handlers);

    /// Connects to `to`, then reads until the connection ends.
    boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint to);

    /// Reads until the connection ends.
    boost::asio::awaitable<void> run();

    /// Queues a message for sending. Closes the connection instead when the
    /// peer reads so slowly that the send buffer would exceed its bound.
    /// Returns the position of the message, or nothing when it is not sent.
    std::optional<stream_position> send(std::string_view message);

    /// Returns the position from which no byte has left this process.
    [[nodiscard]] stream_position unsent_from() const
    {
        return stream_position(this->bytes_handed_over);
    }

    void close();

    [[nodiscard]] bool open() const
    {
        return this->connected && this->socket.is_open();
    }

    /// Returns the kernel's smoothed round-trip time; zero when it has none.
    [[nodiscard]] microseconds round_trip();

private:
    boost::asio::awaitable<void> read();
    [[nodiscard]] bool parse_frames();
    void write_next();

    boost::asio::ip::tcp::socket socket;
    callbacks handlers;
    std::string read_buffer;
    std::string write_buffer;
    std::string send_buffer;
    std::uint64_t bytes_queued = 0;

    /// Includes the bytes of a write in progress.
    std::uint64_t bytes_handed_over = 0;
    bool connected = false;
    bool read_ended = false;
};

} // namespace basilpath
