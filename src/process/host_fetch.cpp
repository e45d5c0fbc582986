#include "process/host_fetch.hpp"

#include "connection/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace basilpath
{

namespace
{

// Asks one host; the reply is stored where the caller keeps it.
boost::asio::awaitable<void> ask(http_client& client, std::string path,
                                 std::chrono::milliseconds timeout,
                                 host_reply& answer)
{
    http_request request;
    request.method = "GET";
    request.url = "http://" + answer.address + path;
    request.timeout = timeout;
    http_reply reply = co_await client.send(std::move(request));
    if (reply.outcome != http_outcome::answered)
    {
        answer.lost = reply.error.empty() ? "no answer" : reply.error;
        co_return;
    }
    answer.status = reply.status;
    answer.body = std::move(reply.body);
}

} // namespace

std::vector<host_reply>
fetch_from_hosts(const std::vector<std::string>& addresses,
                 const std::string& path, std::chrono::milliseconds timeout)
{
    std::vector<host_reply> replies(addresses.size());
    boost::asio::io_context context(1);
    http_client client(context);
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        replies[i].address = addresses[i];
        boost::asio::co_spawn(context, ask(client, path, timeout, replies[i]),
                              boost::asio::detached);
    }
    // The client keeps idle connections watched, so the loop is left when all
    // hosts have answered rather than when it has nothing to wait for.
    const auto open = [](const host_reply& one)
    {
        return one.status == 0 && one.lost.empty();
    };
    while (std::ranges::any_of(replies, open) && context.run_one() > 0)
    {
    }
    return replies;
}

} // namespace basilpath
