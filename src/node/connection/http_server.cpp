#include "node/connection/http_server.hpp"

#include "node/connection/endpoint.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// How often idle and slow connections are looked for; small against the
// timeouts of seconds that callers are given.
constexpr auto sweep_interval = 500ms;

// Wait after an accept failed, e.g. for want of descriptors.
constexpr auto accept_pause = 50ms;

} // namespace

node_http_server::node_http_server(asio::io_context& context,
                                   const std::string& address,
                                   http_handler handler)
    : context(context), acceptor(context),
      state(std::make_shared<http_server_state>())
{
    const auto endpoint = to_endpoint(address);
    if (!endpoint)
    {
        throw std::runtime_error("not an address: " + address);
    }
    this->state->handler = std::move(handler);
    this->acceptor.open(endpoint->protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(*endpoint);
    this->acceptor.listen(asio::socket_base::max_listen_connections);
}

void node_http_server::start()
{
    asio::co_spawn(this->context, this->accept(), asio::detached);
    asio::co_spawn(this->context, this->sweep(), asio::detached);
}

void node_http_server::set_limits(const caller_limits& limits)
{
    this->state->limits = limits;
}

void node_http_server::start_draining()
{
    this->state->draining = true;
}

void node_http_server::close_idle()
{
    for (const auto& weak : this->sessions)
    {
        if (const auto session = weak.lock())
        {
            session->close_if_idle();
        }
    }
}

void node_http_server::stop_accepting()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
}

std::size_t node_http_server::busy_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->sessions,
                              [](const auto& weak)
                              {
                                  const auto session = weak.lock();
                                  return session && session->busy();
                              }));
}

std::size_t node_http_server::connection_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->sessions, [](const auto& weak) { return !weak.expired(); }));
}

asio::awaitable<void> node_http_server::accept()
{
    asio::steady_timer pause(this->context);
    while (this->acceptor.is_open())
    {
        asio::ip::tcp::socket socket(this->context);
        const auto [error] = co_await this->acceptor.async_accept(
            socket, asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            log_event(log_level::warning, "accept_failed",
                      {{"reason", error.message()}});
            pause.expires_after(accept_pause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const auto session =
            std::make_shared<http_session>(std::move(socket), this->state);
        this->sessions.push_back(session);
        asio::co_spawn(this->context, session->run(), asio::detached);
    }
}

asio::awaitable<void> node_http_server::sweep()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        timer.expires_after(sweep_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        std::erase_if(this->sessions,
                      [](const auto& weak) { return weak.expired(); });
        const instant now = to_instant(std::chrono::steady_clock::now());
        for (const auto& weak : this->sessions)
        {
            if (const auto session = weak.lock())
            {
                session->close_if_expired(now);
            }
        }
    }
}

} // namespace basilpath
