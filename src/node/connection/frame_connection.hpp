/// A TCP connection between two hosts that carries messages both ways.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
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

        /// Called once, after the connection has ended.
        std::function<void()> closed;
    };

    frame_connection(boost::asio::ip::tcp::socket socket, callbacks handlers);

    /// Connects to `to`, then reads until the connection ends.
    boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint to);

    /// Reads until the connection ends.
    boost::asio::awaitable<void> run();

    /// Queues a message for sending. Closes the connection instead when the
    /// peer reads so slowly that the send buffer would exceed its bound.
    void send(std::string_view message);

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
    bool connected = false;
};

} // namespace basilpath
