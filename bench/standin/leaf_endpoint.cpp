#include "standin/leaf_endpoint.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath::standin
{

namespace
{

constexpr std::chrono::milliseconds close_poll{1};

} // namespace

leaf_endpoint::leaf_endpoint(boost::asio::io_context& context,
                             std::string address, call_handler called)
    : context(context), address(std::move(address)), called(std::move(called))
{
}

void leaf_endpoint::open()
{
    const auto weak = this->weak_from_this();
    leaf_server::handlers tell;
    tell.connected = [weak](const std::shared_ptr<leaf_connection>& connection)
    {
        if (const auto alive = weak.lock())
        {
            alive->connected(connection);
        }
    };
    tell.disconnected =
        [weak](const std::shared_ptr<leaf_connection>& connection)
    {
        if (const auto alive = weak.lock())
        {
            alive->disconnected(connection);
        }
    };
    tell.called = [weak](const std::shared_ptr<leaf_call>& call)
    {
        if (const auto alive = weak.lock())
        {
            alive->received(call);
        }
    };
    this->server = std::make_unique<leaf_server>(this->context, this->address,
                                                 std::move(tell));
    this->address = this->address.substr(0, this->address.rfind(':') + 1) +
                    std::to_string(this->server->port());
    this->closing = false;
}

boost::asio::awaitable<void> leaf_endpoint::close()
{
    const auto self = this->shared_from_this();
    this->closing = true;
    std::ranges::for_each(this->connections,
                          [](const auto& one) { one->abort(); });
    boost::asio::steady_timer timer(this->context);
    while (!this->connections.empty())
    {
        timer.expires_after(close_poll);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    this->server.reset();
}

void leaf_endpoint::silence()
{
    std::ranges::for_each(this->connections,
                          [](const auto& one) { one->silent = true; });
}

void leaf_endpoint::set_limit(std::size_t connections)
{
    this->limit = connections;
}

bool leaf_endpoint::listening() const
{
    return this->server && !this->closing;
}

std::uint16_t leaf_endpoint::port() const
{
    return this->server->port();
}

void leaf_endpoint::connected(
    const std::shared_ptr<leaf_connection>& connection)
{
    this->connections.insert(connection);
    const bool accepted = this->record.connect(this->limit);
    if (this->closing || !accepted)
    {
        connection->abort();
    }
}

void leaf_endpoint::disconnected(
    const std::shared_ptr<leaf_connection>& connection)
{
    this->connections.erase(connection);
    this->record.disconnect();
}

void leaf_endpoint::received(const std::shared_ptr<leaf_call>& call)
{
    if (this->closing || call->connection->silent)
    {
        ++this->record.unheard;
        return;
    }
    this->called(call);
}

} // namespace basilpath::standin
