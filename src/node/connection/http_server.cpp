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
#include <exception>
#include <ranges>
#include <stdexcept>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// Period of the check for expired connections; short compared with the idle and
// header timeouts, which are seconds.
constexpr auto sweep_interval = 500ms;

// Limit of the lines on unfinished connections; a host that stops as planned
// has few.
constexpr std::size_t max_unfinished_lines = 256;

// Delay after a failed accept, for example when file descriptors run out.
constexpr auto accept_retry_delay = 50ms;

} // namespace

/// The listening socket and its connections. Its coroutines keep it alive.
class node_http_server::listener : public std::enable_shared_from_this<listener>
{
public:
    listener(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
             http_handler handler)
        : acceptor(context), sweep_timer(context),
          state(std::make_shared<http_server_state>())
    {
        this->state->handler = std::move(handler);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(endpoint);
        this->acceptor.listen(asio::socket_base::max_listen_connections);
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> sweep();
    void add_session(asio::ip::tcp::socket socket);
    void close_expired(instant now);
    void stop_accepting();
    void stop();

    auto open_sessions() const
    {
        return this->sessions |
               std::views::transform([](const auto& weak)
                                     { return weak.lock(); }) |
               std::views::filter([](const auto& session)
                                  { return session != nullptr; });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    std::shared_ptr<http_server_state> state;
    std::vector<std::weak_ptr<http_session>> sessions;
};

node_http_server::node_http_server(asio::io_context& context,
                                   const std::string& address,
                                   http_handler handler)
{
    const auto endpoint = to_endpoint(address);
    if (!endpoint)
    {
        throw std::runtime_error("invalid address: " + address);
    }
    this->self =
        std::make_shared<listener>(context, *endpoint, std::move(handler));
}

node_http_server::~node_http_server()
{
    this->self->stop();
}

void node_http_server::start()
{
    const auto executor = this->self->acceptor.get_executor();
    asio::co_spawn(executor, this->self->accept(), asio::detached);
    asio::co_spawn(executor, this->self->sweep(), asio::detached);
}

void node_http_server::set_memory(
    std::shared_ptr<memory_budget::account> holder)
{
    this->self->state->memory = std::move(holder);
}

void node_http_server::set_limits(const caller_limits& limits)
{
    this->self->state->limits = limits;
}

void node_http_server::start_draining()
{
    this->self->state->draining = true;
}

void node_http_server::close_idle()
{
    for (const auto& session : this->self->open_sessions())
    {
        session->close_if_idle();
    }
}

void node_http_server::close_expired(instant now)
{
    this->self->close_expired(now);
}

void node_http_server::stop_accepting()
{
    this->self->stop_accepting();
}

void node_http_server::log_unfinished() const
{
    std::size_t unfinished = 0;
    const instant time = to_instant(std::chrono::steady_clock::now());
    for (const auto& session : this->self->open_sessions())
    {
        if (!session->unfinished())
        {
            continue;
        }
        if (++unfinished <= max_unfinished_lines)
        {
            session->log_unfinished(time);
        }
    }
    if (unfinished > max_unfinished_lines)
    {
        log_event(log_level::warning, "requests_not_logged",
                  {{"count", unfinished - max_unfinished_lines}});
    }
}

std::size_t node_http_server::busy_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->self->open_sessions(),
        [](const auto& candidate) { return candidate->busy(); }));
}

std::size_t node_http_server::connection_count() const
{
    return static_cast<std::size_t>(
        std::ranges::distance(this->self->open_sessions()));
}

asio::ip::tcp::endpoint node_http_server::local_endpoint() const
{
    return this->self->acceptor.local_endpoint();
}

void node_http_server::listener::add_session(asio::ip::tcp::socket socket)
{
    const auto session =
        std::make_shared<http_session>(std::move(socket), this->state);
    this->sessions.push_back(session);
    // The session keeps itself alive only once it runs.
    asio::co_spawn(this->sweep_timer.get_executor(), session->run(),
                   [session](const std::exception_ptr&) {});
}

void node_http_server::listener::close_expired(instant now)
{
    for (const auto& session : this->open_sessions())
    {
        session->close_if_expired(now);
    }
}

// Closing the acceptor would reset the connections that the kernel has
// established but that were not accepted yet.
void node_http_server::listener::stop_accepting()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error && this->state->handler)
    {
        asio::ip::tcp::socket socket(this->acceptor.get_executor());
        this->acceptor.accept(socket, error);
        if (!error)
        {
            this->add_session(std::move(socket));
        }
    }
    this->acceptor.close(error);
}

void node_http_server::listener::stop()
{
    this->state->handler = nullptr;
    this->stop_accepting();
    this->sweep_timer.cancel();
    for (const auto& session : this->open_sessions())
    {
        session->close();
    }
}

asio::awaitable<void> node_http_server::listener::accept()
{
    const auto self = this->shared_from_this();
    asio::steady_timer retry_timer(this->acceptor.get_executor());
    while (this->acceptor.is_open())
    {
        asio::ip::tcp::socket socket(this->acceptor.get_executor());
        const auto [error] = co_await this->acceptor.async_accept(
            socket, asio::as_tuple(asio::use_awaitable));
        if (!this->state->handler)
        {
            co_return;
        }
        if (error && this->acceptor.is_open())
        {
            log_event(log_level::warning, "accept_failed",
                      {{"reason", error.message()}});
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(
                asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (!error)
        {
            this->add_session(std::move(socket));
        }
    }
}

asio::awaitable<void> node_http_server::listener::sweep()
{
    const auto self = this->shared_from_this();
    while (true)
    {
        this->sweep_timer.expires_after(sweep_interval);
        const auto [stopped] = co_await this->sweep_timer.async_wait(
            asio::as_tuple(asio::use_awaitable));
        if (stopped || !this->state->handler)
        {
            co_return;
        }
        std::erase_if(this->sessions,
                      [](const auto& weak) { return weak.expired(); });
        this->close_expired(to_instant(std::chrono::steady_clock::now()));
    }
}

} // namespace basilpath
