#include "node/connection/frame_connection.hpp"

#include "node/connection/socket_options.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <cstdint>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;

namespace
{

// One read; a message of the usual size comes in one.
constexpr std::size_t read_bytes = 8'192;

constexpr std::size_t length_bytes = sizeof(std::uint32_t);

// Largest message: the largest body of a caller and its headers, twice over.
constexpr std::size_t message_limit = 1'000'000;

// Most bytes that wait to be sent; a host that reads is never this far behind.
constexpr std::size_t waiting_limit = 4'000'000;

// Data that the other host does not acknowledge for this long ends the
// connection: it is gone or cut off, and what it was asked is long late.
constexpr milliseconds unacknowledged_limit{1'000};

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket, callbacks told)
    : socket(std::move(socket)), told(std::move(told)),
      made(this->socket.is_open())
{
}

asio::awaitable<void> frame_connection::connect(asio::ip::tcp::endpoint to)
{
    const auto self = this->shared_from_this();
    const auto [error] = co_await this->socket.async_connect(
        to, asio::as_tuple(asio::use_awaitable));
    if (error || !this->socket.is_open())
    {
        this->close();
        this->told.closed();
        co_return;
    }
    this->made = true;
    co_await this->run();
}

asio::awaitable<void> frame_connection::run()
{
    const auto self = this->shared_from_this();
    set_low_delay(this->socket);
    set_acknowledgement_limit(this->socket, unacknowledged_limit);
    this->told.opened();
    co_await this->read();
    this->close();
    this->told.closed();
}

void frame_connection::send(std::string_view message)
{
    if (!this->open())
    {
        return;
    }
    if (this->waiting.size() + message.size() > waiting_limit)
    {
        log_event(log_level::warning, "link_not_read",
                  {{"waiting_bytes", this->waiting.size()}});
        this->close();
        return;
    }
    std::array<unsigned char, length_bytes> length{};
    boost::endian::store_big_u32(length.data(),
                                 static_cast<std::uint32_t>(message.size()));
    this->waiting.append(length.begin(), length.end());
    this->waiting.append(message);
    if (this->writing.empty())
    {
        this->write_next();
    }
}

void frame_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

microseconds frame_connection::round_trip()
{
    return basilpath::round_trip(this->socket);
}

asio::awaitable<void> frame_connection::read()
{
    std::array<char, read_bytes> space{};
    while (this->socket.is_open())
    {
        const auto [error, count] = co_await this->socket.async_read_some(
            asio::buffer(space), asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        this->received.append(space.data(), count);
        if (!this->take_frames())
        {
            co_return;
        }
    }
}

// Hands over the whole messages that have been read. False when the connection
// is of no further use.
bool frame_connection::take_frames()
{
    std::string_view rest = this->received;
    while (rest.size() >= length_bytes)
    {
        const std::size_t length = boost::endian::load_big_u32(
            reinterpret_cast<const unsigned char*>(rest.data()));
        if (length > message_limit)
        {
            log_event(log_level::warning, "link_message_too_long",
                      {{"bytes", length}});
            return false;
        }
        if (rest.size() < length_bytes + length)
        {
            break;
        }
        if (!this->told.message(rest.substr(length_bytes, length)))
        {
            log_event(log_level::warning, "link_message_unreadable",
                      {{"bytes", length}});
            return false;
        }
        rest.remove_prefix(length_bytes + length);
    }
    this->received.erase(0, this->received.size() - rest.size());
    return true;
}

void frame_connection::write_next()
{
    this->writing = std::exchange(this->waiting, {});
    const auto self = this->shared_from_this();
    asio::async_write(
        this->socket, asio::buffer(this->writing),
        [self](const boost::system::error_code& error, std::size_t)
        {
            self->writing.clear();
            if (error)
            {
                self->close();
            }
            else if (!self->waiting.empty())
            {
                self->write_next();
            }
        });
}

} // namespace basilpath
