/// A connection between two hosts that carries messages both ways.
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

/// Each message is a frame: its length in four bytes, largest first, then the
/// message. Keeps itself alive until the connection has ended. A frame that is
/// too long or not taken ends the connection and nothing else.
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
    /// What the owner of the connection is told.
    struct callbacks
    {
        std::function<void()> opened;

        /// Takes a message; false when it is not one.
        std::function<bool(std::string_view)> message;

        /// Called once, at the end.
        std::function<void()> closed;
    };

    frame_connection(boost::asio::ip::tcp::socket socket, callbacks told);

    /// Connects, then reads until the connection ends.
    boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint to);

    /// Reads until the connection ends.
    boost::asio::awaitable<void> run();

    /// Sends a message after those that wait. Ends the connection when the
    /// other host has not read for so long that too much waits.
    void send(std::string_view message);

    void close();

    [[nodiscard]] bool open() const
    {
        return this->made && this->socket.is_open();
    }

    /// The kernel's estimate of the round trip; zero when it has none.
    [[nodiscard]] microseconds round_trip();

private:
    boost::asio::awaitable<void> read();
    [[nodiscard]] bool take_frames();
    void write_next();

    boost::asio::ip::tcp::socket socket;
    callbacks told;
    std::string received;
    std::string writing;
    std::string waiting;
    bool made = false;
};

} // namespace basilpath
