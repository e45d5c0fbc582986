#include "node/connection/http_client.hpp"

#include "node/connection/endpoint.hpp"
#include "node/connection/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

namespace
{

// Limit of one connection attempt. A round trip takes milliseconds, while TCP
// retransmits a lost SYN only after a second, so a new attempt is faster.
constexpr auto connect_timeout = 500ms;

// Limit on buffered bytes that complete no element of a response, such as a
// chunk header or a trailer: the parser does not bound those.
constexpr std::size_t max_buffered_bytes = 65'536;

} // namespace

node_http_client::node_http_client(const asio::any_io_executor& executor,
                                   http_address address,
                                   std::uint64_t max_body_bytes)
    : address(std::move(address)), max_body_bytes(max_body_bytes),
      stream(executor), buffer(max_buffered_bytes)
{
}

asio::awaitable<std::optional<http_response>>
node_http_client::get(std::string target, response_timeouts timeouts)
{
    this->too_long = false;
    if (this->connected && this->has_unread_bytes())
    {
        this->close(); // They are no answer to this request.
    }
    if (!this->connected)
    {
        const bool made = co_await this->connect(timeouts.begin);
        if (!made)
        {
            co_return std::nullopt;
        }
    }
    const auto started = std::chrono::steady_clock::now();
    this->stream.expires_at(started + timeouts.begin);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, this->address.value);
    const auto [write_error, written] = co_await http::async_write(
        this->stream, request, asio::as_tuple(asio::use_awaitable));
    if (write_error)
    {
        co_return this->close_with_error("write: " + write_error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(this->max_body_bytes);
    parser.eager(true);
    while (!parser.is_done())
    {
        const auto [read_error, count] =
            co_await http::async_read_some(this->stream, this->buffer, parser,
                                           asio::as_tuple(asio::use_awaitable));
        if (read_error)
        {
            this->too_long = read_error == http::error::body_limit;
            co_return this->close_with_error("read: " + read_error.message());
        }
        this->received += count;
        this->stream.expires_at(
            std::min(std::chrono::steady_clock::now() + timeouts.stall,
                     started + timeouts.total));
    }
    this->stream.expires_never();
    http_response response = parser.release();
    if (!response.keep_alive() || this->buffer.size() > 0)
    {
        this->close();
    }
    co_return response;
}

bool node_http_client::has_unread_bytes()
{
    boost::system::error_code error;
    return this->stream.socket().available(error) > 0;
}

void node_http_client::close()
{
    this->connected = false;
    this->buffer.clear();
    this->stream.close();
}

asio::awaitable<bool> node_http_client::connect(milliseconds timeout)
{
    const auto endpoint = to_endpoint(this->address.value);
    if (!endpoint)
    {
        this->close_with_error("invalid address: " + this->address.value);
        co_return false;
    }
    this->stream.expires_after(
        std::min<milliseconds>(timeout, connect_timeout));
    const auto [error] = co_await this->stream.async_connect(
        *endpoint, asio::as_tuple(asio::use_awaitable));
    if (error)
    {
        this->close_with_error("connect: " + error.message());
        co_return false;
    }
    set_no_delay(this->stream.socket());
    this->connected = true;
    co_return true;
}

std::optional<http_response>
node_http_client::close_with_error(std::string reason)
{
    this->error_text = std::move(reason);
    this->close();
    return std::nullopt;
}

} // namespace basilpath
