#include "connection/leaf_client.hpp"

#include "connection/leaf_state.hpp"

namespace basilpath
{

leaf_client::leaf_client(boost::asio::io_context& context) : context(context) {}

boost::asio::awaitable<http_reply> leaf_client::send(const leaf_state& leaf,
                                                     http_request request)
{
    auto& client = this->clients[leaf.address];
    if (!client)
    {
        client = std::make_shared<http_client>(this->context);
    }
    client->limit_connections(leaf.connection_limit);
    request.url = "http://" + leaf.address.value + request.url;
    const auto keep = client;
    co_return co_await keep->send(std::move(request));
}

} // namespace basilpath
