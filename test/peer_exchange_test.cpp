/// What hosts tell each other, over sockets of the loopback address.
#include "node/process/peer_exchange.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
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
    exchanging_host(boost::asio::io_context& context, peer_address address,
                    std::vector<peer_address> seeds)
        : run(context, 1), members(describe(std::move(address)), now()),
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

} // namespace
