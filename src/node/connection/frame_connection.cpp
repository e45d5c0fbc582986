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

// Size of one read; a typical message fits.
constexpr std::size_t read_bytes = 8'192;

constexpr std::size_t length_bytes = sizeof(std::uint32_t);

// Twice the largest request body of a caller and its headers.
constexpr std::size_t max_message_bytes = 1'000'000;

// Send buffer bound; a host that reads its connection never reaches it.
constexpr std::size_t max_unsent_bytes = 4'000'000;

// Closes the connection when the peer leaves data unacknowledged for this long:
// it has crashed or is unreachable, and its answers would be far too late.
constexpr milliseconds unacknowledged_timeout{1'000};

} // namespace

frame_connection::frame_connection(asio::ip::tcp::socket socket,
                                   callbacks handlers)
    : socket(std::move(socket)), handlers(std::move(handlers)),
      connected(this->socket.is_open())
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
        this->handlers.closed();
        co_return;
    }
    this->connected = true;
    co_await this->run();
}

asio::awaitable<void> frame_connection::run()
{
    const auto self = this->shared_from_this();
    set_no_delay(this->socket);
    set_user_timeout(this->socket, unacknowledged_timeout);
    this->handlers.opened();
    co_await this->read();
    this->close();
    this->read_ended = true;
    if (this->write_buffer.empty())
    {
        this->handlers.closed();
    }
}

std::optional<stream_position> frame_connection::send(std::string_view message)
{
    if (!this->open())
    {
        return std::nullopt;
    }
    if (this->send_buffer.size() + message.size() > max_unsent_bytes)
    {
        log_event(log_level::warning, "link_not_read",
                  {{"waiting_bytes", this->send_buffer.size()}});
        this->close();
        return std::nullopt;
    }
    const stream_position position(this->bytes_queued);
    std::array<unsigned char, length_bytes> length{};
    boost::endian::store_big_u32(length.data(),
                                 static_cast<std::uint32_t>(message.size()));
    this->send_buffer.append(length.begin(), length.end());
    this->send_buffer.append(message);
    this->bytes_queued += length.size() + message.size();
    if (this->write_buffer.empty())
    {
        this->write_next();
    }
    return position;
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
    std::array<char, read_bytes> chunk{};
    while (this->socket.is_open())
    {
        const auto [error, count] = co_await this->socket.async_read_some(
            asio::buffer(chunk), asio::as_tuple(asio::use_awaitable));
        if (error)
        {
            co_return;
        }
        this->read_buffer.append(chunk.data(), count);
        if (!this->parse_frames())
        {
            co_return;
        }
    }
}

// Passes the complete messages in read_buffer to the owner. Returns false when
// the connection must be closed.
bool frame_connection::parse_frames()
{
    std::string_view rest = this->read_buffer;
    while (rest.size() >= length_bytes)
    {
        const std::size_t length = boost::endian::load_big_u32(
            reinterpret_cast<const unsigned char*>(rest.data()));
        if (length > max_message_bytes)
        {
            log_event(log_level::warning, "link_message_too_long",
                      {{"bytes", length}});
            return false;
        }
        if (rest.size() < length_bytes + length)
        {
            break;
        }
        if (!this->handlers.message(rest.substr(length_bytes, length)))
        {
            log_event(log_level::warning, "link_message_unreadable",
                      {{"bytes", length}});
            return false;
        }
        rest.remove_prefix(length_bytes + length);
    }
    this->read_buffer.erase(0, this->read_buffer.size() - rest.size());
    return true;
}

void frame_connection::write_next()
{
    this->write_buffer = std::exchange(this->send_buffer, {});
    this->bytes_handed_over += this->write_buffer.size();
    const auto self = this->shared_from_this();
    asio::async_write(
        this->socket, asio::buffer(this->write_buffer),
        [self](const boost::system::error_code& error, std::size_t written)
        {
            self->bytes_handed_over -= self->write_buffer.size() - written;
            self->write_buffer.clear();
            if (error)
            {
                self->close();
            }
            else if (!self->send_buffer.empty())
            {
                self->write_next();
            }
            if (self->read_ended && self->write_buffer.empty())
            {
                self->handlers.closed();
            }
        });
}

} // namespace basilpath
