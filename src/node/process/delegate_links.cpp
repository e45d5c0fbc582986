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

// How often links are checked. A host that has just started is linked within
// this time.
constexpr auto maintenance_interval = 100ms;

// Time between two attempts to connect to a host.
constexpr microseconds connect_interval = 500ms;

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

} // namespace

void delegate_links::start(delegate_pool& delegates)
{
    this->pool = &delegates;
    asio::co_spawn(this->context, this->maintain(), asio::detached);
}

std::optional<stream_position> delegate_links::send(const peer_address& host,
                                                    const link_message& message)
{
    const auto found = this->links.find(host);
    if (found == this->links.end() || !found->second.connection)
    {
        return std::nullopt;
    }
    const std::string bytes = encode_link_message(message);
    const auto position = found->second.connection->send(bytes);
    if (position)
    {
        this->traffic.add(traffic_purpose::subqueries, bytes.size());
    }
    return position;
}

asio::awaitable<void> delegate_links::maintain()
{
    asio::steady_timer timer(this->context);
    while (true)
    {
        const instant time = now();
        this->close_stale(time);
        for (const delegate& one : this->pool->link_targets())
        {
            link& known = this->links[one.address];
            if (!known.connection && time >= known.next_attempt)
            {
                this->open(one.address, known);
            }
        }
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

// Opens the link to a host. The host's hello shows that its process runs, since
// the kernel accepts connections for a frozen one too.
void delegate_links::open(const peer_address& host, link& target)
{
    target.next_attempt = now() + connect_interval;
    const auto endpoint = to_endpoint(host.value);
    if (!endpoint)
    {
        return;
    }
    frame_connection::callbacks callbacks;
    callbacks.opened = [] {
    };
    callbacks.message = [this, host](std::string_view bytes)
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
    callbacks.closed = [this, host]
    {
        const auto ended = std::exchange(this->links[host].connection, nullptr);
        this->pool->on_closed(host, ended->unsent_from());
    };
    target.connection = std::make_shared<frame_connection>(
        asio::ip::tcp::socket(this->context), std::move(callbacks));
    asio::co_spawn(this->context, target.connection->connect(*endpoint),
                   asio::detached);
}

// Closes the links on which a host has been silent for too long, those that did
// not open in time, and those that are no link targets any more and have no
// pending subqueries.
void delegate_links::close_stale(instant time)
{
    const std::vector<delegate> targets = this->pool->link_targets();
    for (const auto& [host, one] : this->links)
    {
        const bool keep =
            std::ranges::find(targets, host, &delegate::address) !=
                targets.end() ||
            this->pool->outstanding(host) > 0;
        const bool stuck = one.connection && !one.connection->open() &&
                           time >= one.next_attempt;
        if (one.connection &&
            (!keep || stuck || this->pool->link_timed_out(host, time)))
        {
            one.connection->close();
        }
    }
    std::erase_if(
        this->links, [time](const auto& one)
        { return !one.second.connection && time >= one.second.next_attempt; });
}

} // namespace basilpath
