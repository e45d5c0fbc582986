#include "connection/http_server.hpp"

#include "node/connection/caller_presence.hpp"
#include "node/connection/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// Bytes beyond the limit that are still read, so that a body over the limit
// gets the answer of the options and the connection stays in step.
constexpr std::size_t oversize_allowance_bytes = 1U << 20U;

// Callers and hosts keep connections for minutes between requests.
constexpr milliseconds idle_timeout = 300s;

/// An answer that is awaited, owned by who awaits it: an exchange may outlive
/// the event loop. The timer only wakes who waits.
struct pending_answer
{
    explicit pending_answer(const asio::any_io_executor& executor)
        : ready(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer ready;
    std::optional<http_answer> answer;
};

// Makes the exchange whose answer arrives in `pending`.
std::shared_ptr<http_exchange>
make_exchange(http_request& request,
              const std::shared_ptr<pending_answer>& pending)
{
    auto one = std::make_shared<http_exchange>(
        [weak = std::weak_ptr<pending_answer>(pending)](http_answer answer)
        {
            if (const auto waiting = weak.lock())
            {
                waiting->answer = std::move(answer);
                waiting->ready.cancel();
            }
        });
    const std::string target(request.target());
    const auto mark = target.find('?');
    one->method = std::string(request.method_string());
    one->path = target.substr(0, mark);
    one->query = mark == std::string::npos ? "" : target.substr(mark + 1);
    one->body = std::move(request.body());
    return one;
}

// Turns an answer into a message.
http_response to_message(http_answer answer)
{
    http_response message;
    message.result(static_cast<unsigned>(answer.status));
    message.set(boost::beast::http::field::content_type, answer.content_type);
    for (const http_header& header : answer.headers)
    {
        message.insert(header.name, header.value);
    }
    message.body() = std::move(answer.body);
    return message;
}

} // namespace

struct http_server::implementation
{
    implementation(asio::io_context& context,
                   const http_server_options& options, handler serve)
        : serve(std::move(serve)),
          request_limit_bytes(options.request_limit_bytes),
          too_large(options.too_large),
          server(
              context, options.address,
              [this](std::shared_ptr<http_request> request,
                     std::shared_ptr<caller_presence> presence)
              { return this->answer(std::move(request), std::move(presence)); })
    {
        caller_limits limits;
        limits.body_bytes =
            this->request_limit_bytes + oversize_allowance_bytes;
        limits.idle_timeout = idle_timeout;
        this->server.set_limits(limits);
        this->server.start();
    }

    // Hands the request over. Nothing of the server is used once the answer is
    // awaited, as it may be destroyed by then.
    asio::awaitable<http_response>
    answer(std::shared_ptr<http_request> request,
           std::shared_ptr<caller_presence> presence)
    {
        if (request->body().size() > this->request_limit_bytes)
        {
            co_return to_message(this->too_large);
        }
        const auto pending = std::make_shared<pending_answer>(
            co_await asio::this_coro::executor);
        {
            const auto one = make_exchange(*request, pending);
            presence->on_disconnect(
                [weak = std::weak_ptr<http_exchange>(one)]
                {
                    if (const auto waiting = weak.lock())
                    {
                        waiting->cancel();
                    }
                });
            this->serve(one);
        }
        if (!pending->answer)
        {
            co_await pending->ready.async_wait(
                asio::as_tuple(asio::use_awaitable));
        }
        co_return to_message(std::move(*pending->answer));
    }

    handler serve;
    std::size_t request_limit_bytes;
    http_answer too_large;
    node_http_server server;
};

http_server::http_server(asio::io_context& context,
                         const http_server_options& options, handler serve)
    : self(std::make_unique<implementation>(context, options, std::move(serve)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return this->self->server.local_endpoint().port();
}

std::size_t http_server::in_flight() const
{
    return this->self->server.busy_count();
}

void http_server::close_connections()
{
    this->self->server.start_draining();
}

} // namespace basilpath
