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

// Wait after an accept failed, e.g. for want of descriptors.
constexpr auto accept_pause = 50ms;

} // namespace

link_server::link_server(asio::io_context& context, const peer_address& address,
                         traffic_meter& traffic, handler_factory make)
    : context(context), acceptor(context), traffic(traffic),
      make(std::move(make))
{
    const auto endpoint = to_endpoint(address.value);
    if (!endpoint)
    {
        throw std::runtime_error("not an address: " + address.value);
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
            pause.expires_after(accept_pause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        this->serve(std::move(socket));
    }
}

void link_server::serve(asio::ip::tcp::socket socket)
{
    // The connection keeps the functions, and they reach it only while it
    // lives.
    const auto reach = std::make_shared<std::weak_ptr<frame_connection>>();
    const sender send = [this, reach](const link_message& message)
    {
        if (const auto connection = reach->lock())
        {
            const std::string bytes = encode_link_message(message);
            this->traffic.add(traffic_purpose::subqueries, bytes.size());
            connection->send(bytes);
        }
    };
    const auto handler = std::make_shared<link_handler>(this->make(send));
    frame_connection::callbacks told;
    told.opened = [send]
    {
        send(link_hello{});
    };
    told.message = [handler](std::string_view bytes)
    {
        const auto message = decode_link_message(
            bytes, to_instant(std::chrono::steady_clock::now()));
        return message && handler->take(*message);
    };
    told.closed = [handler]
    {
        handler->closed();
    };
    const auto connection =
        std::make_shared<frame_connection>(std::move(socket), std::move(told));
    *reach = connection;
    asio::co_spawn(this->context, connection->run(), asio::detached);
}

} // namespace basilpath
