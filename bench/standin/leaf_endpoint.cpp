#include "standin/leaf_endpoint.hpp"

#include <algorithm>
#include <utility>

namespace basilpath::standin
{

leaf_endpoint::leaf_endpoint(boost::asio::io_context& context,
                             std::string address, call_handler called)
    : context(context), address(std::move(address)), called(std::move(called))
{
}

void leaf_endpoint::open()
{
    const auto lock_if_current =
        [weak = this->weak_from_this(), number = ++this->generation]
    {
        auto alive = weak.lock();
        return alive && alive->generation == number ? alive : nullptr;
    };
    leaf_server::handlers callbacks;
    callbacks.connected =
        [lock_if_current](const std::shared_ptr<leaf_connection>& connection)
    {
        if (const auto alive = lock_if_current())
        {
            alive->connected(connection);
        }
    };
    callbacks.disconnected =
        [lock_if_current](const std::shared_ptr<leaf_connection>& connection)
    {
        if (const auto alive = lock_if_current())
        {
            alive->disconnected(connection);
        }
    };
    callbacks.called = [lock_if_current](const std::shared_ptr<leaf_call>& call)
    {
        if (const auto alive = lock_if_current())
        {
            alive->received(call);
        }
    };
    this->server = std::make_unique<leaf_server>(this->context, this->address,
                                                 std::move(callbacks));
    this->address = this->address.substr(0, this->address.rfind(':') + 1) +
                    std::to_string(this->server->port());
}

void leaf_endpoint::close()
{
    ++this->generation;
    std::ranges::for_each(this->connections,
                          [](const auto& one) { one->abort(); });
    this->server.reset();
    for (const auto& connection : this->connections)
    {
        connection->detach_socket();
        this->record.disconnect();
    }
    this->connections.clear();
}

void leaf_endpoint::silence_connections()
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
    return this->server != nullptr;
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
    if (!accepted)
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
    if (call->connection->silent)
    {
        ++this->record.dropped_silently;
        return;
    }
    this->called(call);
}

} // namespace basilpath::standin
