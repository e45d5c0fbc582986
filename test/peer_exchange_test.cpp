/// What hosts tell each other, over sockets of the loopback address.
#include "node/connection/http_client.hpp"
#include "node/process/peer_exchange.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

instant now()
{
    return to_instant(std::chrono::steady_clock::now());
}

// Returns an address whose port is free for datagrams and connections.
peer_address free_address()
{
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    boost::asio::io_context context;
    while (true)
    {
        const boost::asio::ip::udp::socket datagrams(context, {loopback, 0});
        const auto port = datagrams.local_endpoint().port();
        boost::asio::ip::tcp::socket connections(context,
                                                 boost::asio::ip::tcp::v4());
        boost::system::error_code error;
        connections.bind({loopback, port}, error);
        if (!error)
        {
            return peer_address("127.0.0.1:" + std::to_string(port));
        }
    }
}

/// A host that exchanges datagrams with others.
struct exchanging_host
{
    exchanging_host(boost::asio::io_context& context,
                    const peer_address& address,
                    std::vector<peer_address> seeds)
        : exchanging_host(context, describe(address), std::move(seeds))
    {
    }

    exchanging_host(boost::asio::io_context& context, member own,
                    std::vector<peer_address> seeds)
        : run(context, 1), members(std::move(own), now()),
          peers(context, this->run, this->members, this->view, this->crashes,
                this->limits, this->traffic, std::move(seeds))
    {
        this->peers.start();
    }

    static member describe(peer_address address)
    {
        member own;
        own.address = std::move(address);
        own.start = incarnation(
            static_cast<std::uint64_t>(now().time_since_epoch().count()));
        return own;
    }

    real_runtime run;
    member_list members;
    store_view view{[](const item_change&) {
    }};
    crash_detector crashes{[](const suspected_crash&) {
    }};
    named_limits limits;
    traffic_meter traffic;
    peer_exchange peers;
};

// Guards against a host that sends a quarantined request to replicas again
// because it was not running when the replicas crashed.
TEST_CASE("a host that starts after the crashes learns of the quarantine")
{
    boost::asio::io_context context;
    const peer_address seed = free_address();
    exchanging_host first(context, seed, {});
    const fingerprint request(7);
    // Too long ago to be told as single crashes.
    const instant crashed = now() - 30s;
    for (const char* const id : {"a", "b", "c"})
    {
        first.crashes.merge(suspected_crash{request, leaf_id(id), crashed});
    }
    REQUIRE(first.crashes.quarantined(request, now()));

    exchanging_host second(context, free_address(), {seed});
    for (int i = 0; i < 5000 && !second.crashes.quarantined(request, now());
         ++i)
    {
        context.run_for(2ms);
    }
    CHECK(second.crashes.quarantined(request, now()));
    CHECK_FALSE(second.crashes.quarantined(request, crashed + 62s));
}

// Guards against hosts that keep the view of before a restore, as its revision
// is larger, and pass it on.
TEST_CASE("hosts follow the host that has seen the restored store")
{
    boost::asio::io_context context;
    const peer_address seed = free_address();
    exchanging_host first(context, seed, {});
    exchanging_host second(context, free_address(), {seed});
    const item_update before{0, 300, {{"a", "old", 290}}, store_era(1)};
    const item_update restored{0, 120, {{"a", "new", 110}}, store_era(2)};
    first.view.apply(before, now());
    second.view.apply(before, now());
    context.run_for(300ms);
    // Either one reads the store first.
    const bool first_reads = GENERATE(true, false);
    (first_reads ? first : second).view.apply(restored, now());
    const exchanging_host& other = first_reads ? second : first;
    for (int i = 0;
         i < 5000 && other.view.view().position() != restored.position(); ++i)
    {
        context.run_for(2ms);
    }
    CHECK(other.view.view().position() == restored.position());
    context.run_for(300ms);
    CHECK(first.view.view().position() == restored.position());
    CHECK(second.view.view().position() == restored.position());
    CHECK(first.view.view().since({}).changes[0].value == "new");
    CHECK(second.view.view().since({}).changes[0].value == "new");
}

/// A peer that offers a view and sends it in pieces, as over a narrow link.
class slow_peer
{
public:
    slow_peer(boost::asio::io_context& context, const peer_address& address,
              item_update view, std::size_t pieces, milliseconds interval)
        : acceptor(context, endpoint_of<boost::asio::ip::tcp>(address)),
          offers(context, endpoint_of<boost::asio::ip::udp>(address)),
          view(std::move(view)), pieces(pieces), interval(interval),
          address(address)
    {
        boost::asio::co_spawn(context, this->serve(), boost::asio::detached);
    }

    void offer_to(const peer_address& to)
    {
        peer_datagram datagram;
        datagram.from = exchanging_host::describe(this->address);
        datagram.position = this->view.position();
        datagram.age = milliseconds(0);
        this->offers.send_to(
            boost::asio::buffer(encode_datagram(datagram, now())),
            endpoint_of<boost::asio::ip::udp>(to));
    }

    std::size_t requests = 0;

private:
    template <class Protocol>
    static typename Protocol::endpoint endpoint_of(const peer_address& address)
    {
        const auto colon = address.value.rfind(':');
        return {boost::asio::ip::make_address(address.value.substr(0, colon)),
                static_cast<boost::asio::ip::port_type>(
                    std::stoi(address.value.substr(colon + 1)))};
    }

    boost::asio::awaitable<void> serve()
    {
        while (true)
        {
            auto socket = co_await this->acceptor.async_accept(
                boost::asio::use_awaitable);
            std::string head;
            co_await boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(head), "\r\n\r\n",
                boost::asio::use_awaitable);
            ++this->requests;
            const std::string body = encode_update(this->view);
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                       std::to_string(body.size()) +
                                       "\r\n\r\n" + body;
            const std::size_t length = answer.size() / this->pieces + 1;
            boost::asio::steady_timer timer(this->acceptor.get_executor());
            boost::system::error_code error;
            for (std::size_t at = 0; at < answer.size() && !error; at += length)
            {
                const std::string piece = answer.substr(at, length);
                std::tie(error, std::ignore) =
                    co_await boost::asio::async_write(
                        socket, boost::asio::buffer(piece),
                        boost::asio::as_tuple(boost::asio::use_awaitable));
                timer.expires_after(this->interval);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
        }
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::udp::socket offers;
    item_update view;
    std::size_t pieces;
    milliseconds interval;
    peer_address address;
};

// Guards against hosts that abandon a fetch of a large configuration while it
// makes progress, and begin it anew.
TEST_CASE("a view that takes longer than a second to arrive is received")
{
    boost::asio::io_context context;
    const peer_address address = free_address();
    const item_update offered{
        0, 300, {{"a", std::string(100'000, 'v'), 290}}, store_era{}};
    slow_peer peer(context, address, offered, 40, 50ms);
    exchanging_host host(context, free_address(), {});
    for (int i = 0;
         i < 3000 && host.view.view().position() != offered.position(); ++i)
    {
        if (i % 100 == 0)
        {
            peer.offer_to(host.members.own().address);
        }
        context.run_for(2ms);
    }
    CHECK(host.view.view().position() == offered.position());
    CHECK(peer.requests == 1);
}

/// Requests a view as a host does.
std::optional<http_response> request_view(boost::asio::io_context& context,
                                          const peer_address& from,
                                          std::string target)
{
    node_http_client client(context.get_executor(), http_address(from.value));
    std::optional<std::optional<http_response>> result;
    boost::asio::co_spawn(
        context, client.get(std::move(target), 10s),
        [&result](const std::exception_ptr&, std::optional<http_response> read)
        { result = std::move(read); });
    for (int i = 0; i < 5000 && !result; ++i)
    {
        context.run_for(2ms);
    }
    REQUIRE(result);
    return *result;
}

// Guards against hosts of an earlier release that cannot read any view.
TEST_CASE("long values are packed only for hosts that ask for it")
{
    boost::asio::io_context context;
    const peer_address address = free_address();
    exchanging_host host(context, address, {});
    const std::string value(100'000, 'v');
    host.view.apply({0, 300, {{"a", value, 290}}, store_era{}}, now());
    const auto plain = request_view(context, address, "/view?after=0&era=0");
    REQUIRE(plain);
    CHECK(plain->body().find(value) != std::string::npos);
    const auto packed =
        request_view(context, address, "/view?after=0&era=0&packed=1");
    REQUIRE(packed);
    CHECK(packed->body().size() < value.size() / 10);
    const auto update = decode_update(packed->body());
    REQUIRE(update);
    CHECK(update->changes[0].value == value);
}

// Guards against transfers that all end late because they share one link.
TEST_CASE("a host that has much to send asks others to fetch elsewhere")
{
    boost::asio::io_context context;
    const peer_address address = free_address();
    member own = exchanging_host::describe(address);
    own.link_mbps = 1;
    exchanging_host host(context, std::move(own), {});
    host.view.apply(
        {0, 300, {{"a", std::string(2'000'000, 'v'), 290}}, store_era{}},
        now());
    const std::string target = "/view?after=0&era=0";
    const auto first = request_view(context, address, target);
    REQUIRE(first);
    CHECK(first->result_int() == 200);
    const auto second = request_view(context, address, target);
    REQUIRE(second);
    CHECK(second->result_int() == 503);
}

} // namespace
