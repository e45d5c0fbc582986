#include "node/connection/http_client.hpp"

#include "node/connection/endpoint.hpp"
#include "node/connection/socket_options.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
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

// A connection that is not made within this time is tried anew: links here
// take milliseconds, and a lost opening packet is sent again after a second.
constexpr auto connect_patience = 500ms;

// Largest answer: a page of the store has at most about a megabyte.
constexpr std::uint64_t answer_limit = 16'000'000;

} // namespace

node_http_client::node_http_client(const asio::any_io_executor& executor,
                                   http_address address)
    : address(std::move(address)), stream(executor)
{
}

asio::awaitable<std::optional<http_response>>
node_http_client::get(std::string target, milliseconds timeout)
{
    if (!this->connected)
    {
        const bool made = co_await this->connect(timeout);
        if (!made)
        {
            co_return std::nullopt;
        }
    }
    this->stream.expires_after(timeout);
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, this->address.value);
    const auto [write_error, written] = co_await http::async_write(
        this->stream, request, asio::as_tuple(asio::use_awaitable));
    if (write_error)
    {
        co_return this->fail("write: " + write_error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(answer_limit);
    const auto [read_error, count] =
        co_await http::async_read(this->stream, this->buffer, parser,
                                  asio::as_tuple(asio::use_awaitable));
    if (read_error)
    {
        co_return this->fail("read: " + read_error.message());
    }
    this->stream.expires_never();
    http_response response = parser.release();
    if (!response.keep_alive() || this->buffer.size() > 0)
    {
        this->close();
    }
    co_return response;
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
        this->fail("not an address: " + this->address.value);
        co_return false;
    }
    this->stream.expires_after(
        std::min<milliseconds>(timeout, connect_patience));
    const auto [error] = co_await this->stream.async_connect(
        *endpoint, asio::as_tuple(asio::use_awaitable));
    if (error)
    {
        this->fail("connect: " + error.message());
        co_return false;
    }
    set_low_delay(this->stream.socket());
    this->connected = true;
    co_return true;
}

std::optional<http_response> node_http_client::fail(std::string why)
{
    this->reason = std::move(why);
    this->close();
    return std::nullopt;
}

} // namespace basilpath
