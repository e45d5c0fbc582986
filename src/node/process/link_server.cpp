#include "node/process/link_server.hpp"

#include "node/connection/endpoint.hpp"
#include "node/connection/link_codec.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// Wait after a failed accept, e.g. when file descriptors run out.
constexpr auto accept_retry_delay = 50ms;

} // namespace

link_server::link_server(asio::io_context& context, const peer_address& address,
                         traffic_meter& traffic, handler_factory make_handler)
    : context(context), acceptor(context), traffic(traffic),
      make_handler(std::move(make_handler))
{
    const auto endpoint = to_endpoint(address.value);
    if (!endpoint)
    {
        throw std::runtime_error("invalid address: " + address.value);
    }
    this->acceptor.open(endpoint->protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(*endpoint);
    this->acceptor.listen(asio::socket_base::max_listen_connections);
}

void link_server::start()
{
    asio::co_spawn(this->context, this->accept(), asio::detached);
}

asio::awaitable<void> link_server::accept()
{
    asio::steady_timer pause(this->context);
    while (true)
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
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        this->serve(std::move(socket));
    }
}

void link_server::serve(asio::ip::tcp::socket socket)
{
    // The connection owns these functions, so they refer to it weakly.
    const auto weak_connection =
        std::make_shared<std::weak_ptr<frame_connection>>();
    const sender send = [this, weak_connection](const link_message& message)
    {
        if (const auto connection = weak_connection->lock())
        {
            const std::string bytes = encode_link_message(message);
            this->traffic.add(traffic_purpose::subqueries, bytes.size());
            connection->send(bytes);
        }
    };
    const auto handler =
        std::make_shared<link_handler>(this->make_handler(send));
    frame_connection::callbacks callbacks;
    callbacks.opened = [send]
    {
        send(link_hello{});
    };
    callbacks.message = [handler](std::string_view bytes)
    {
        const auto message = decode_link_message(
            bytes, to_instant(std::chrono::steady_clock::now()));
        return message && handler->take(*message);
    };
    callbacks.closed = [handler]
    {
        handler->closed();
    };
    const auto connection = std::make_shared<frame_connection>(
        std::move(socket), std::move(callbacks));
    *weak_connection = connection;
    asio::co_spawn(this->context, connection->run(), asio::detached);
}

} // namespace basilpath
