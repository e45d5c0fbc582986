#include "node/process/delegate_links.hpp"

#include "node/connection/endpoint.hpp"
#include "node/connection/link_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace basilpath
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace
{

// How often links are looked at; a host that has just started is linked this
// soon.
constexpr auto follow_interval = 100ms;

// Time between two attempts to reach a host.
constexpr microseconds attempt_interval = 500ms;

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

} // namespace

void delegate_links::start(delegate_pool& used)
{
    this->pool = &used;
    asio::co_spawn(this->context, this->follow(), asio::detached);
}

void delegate_links::send(const peer_address& host, const link_message& message)
{
    const auto found = this->links.find(host);
    if (found != this->links.end() && found->second.connection)
    {
        const std::string bytes = encode_link_message(message);
        this->traffic.add(traffic_purpose::subqueries, bytes.size());
        found->second.connection->send(bytes);
    }
}

asio::awaitable<void> delegate_links::follow()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        const instant time = now();
        this->close_spent(time);
        for (const delegate& one : this->pool->linked())
        {
            link& known = this->links[one.address];
            if (!known.connection && time >= known.next_attempt)
            {
                this->open(one.address, known);
            }
        }
        timer.expires_after(follow_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Opens the link to a host. Its greeting shows that the process lives, as the
// kernel accepts connections for one that is frozen.
void delegate_links::open(const peer_address& host, link& made)
{
    made.next_attempt = now() + attempt_interval;
    const auto endpoint = to_endpoint(host.value);
    if (!endpoint)
    {
        return;
    }
    frame_connection::callbacks told;
    told.opened = [] {
    };
    told.message = [this, host](std::string_view bytes)
    {
        auto message = decode_link_message(bytes, now());
        if (message && std::holds_alternative<link_hello>(*message))
        {
            this->pool->on_hello(host);
            return true;
        }
        auto* const report =
            message ? std::get_if<subquery_report>(&*message) : nullptr;
        if (!report)
        {
            return false;
        }
        const auto& connection = this->links[host].connection;
        this->pool->on_report(host, std::move(*report),
                              connection ? connection->round_trip()
                                         : microseconds(0));
        return true;
    };
    told.closed = [this, host]
    {
        this->links[host].connection.reset();
        this->pool->on_closed(host);
    };
    made.connection = std::make_shared<frame_connection>(
        asio::ip::tcp::socket(this->context), std::move(told));
    asio::co_spawn(this->context, made.connection->connect(*endpoint),
                   asio::detached);
}

// Closes the links on which a host has been silent for too long, and those that
// are not wanted any more once nothing is out on them.
void delegate_links::close_spent(instant time)
{
    const std::vector<delegate> wanted = this->pool->linked();
    for (const auto& [host, one] : this->links)
    {
        const bool stays =
            std::ranges::find(wanted, host, &delegate::address) !=
                wanted.end() ||
            this->pool->outstanding(host) > 0;
        const bool stuck = one.connection && !one.connection->open() &&
                           time >= one.next_attempt;
        if (one.connection &&
            (!stays || stuck || this->pool->link_spent(host, time)))
        {
            one.connection->close();
        }
    }
    std::erase_if(
        this->links, [time](const auto& one)
        { return !one.second.connection && time >= one.second.next_attempt; });
}

} // namespace basilpath
