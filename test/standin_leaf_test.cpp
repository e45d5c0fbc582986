// Faults of the stand-in's leaves as a client sees them on a real socket.
#include "connection/http_client.hpp"
#include "standin/target_leaf.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <functional>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::standin;
using namespace std::chrono_literals;

constexpr auto patience = 60s;

/// One leaf with one slot and a client.
struct leaf_fixture
{
    leaf_fixture()
    {
        leaf about;
        about.id = leaf_id("l");
        about.slots = 1;
        about.connections = 2;
        about.connect_time = 0us;
        leaf_options options;
        options.service_time = 1ms;
        options.cold_requests = 0;
        options.queue_limit = 0;
        options.restart_time = 1ms;
        this->log = std::make_shared<execution_log>();
        this->one = std::make_shared<target_leaf>(this->context, options, about,
                                                  3, this->log);
        this->port = this->one->start("127.0.0.1:0");
        this->one->configure(about,
                             {held_shard{service_name("s"), version_number(1),
                                         shard_number(0)}});
    }

    // Runs requests side by side until all have ended.
    std::vector<http_reply> run(const std::vector<http_request>& requests)
    {
        std::vector<http_reply> replies(requests.size());
        this->left = requests.size();
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            boost::asio::co_spawn(this->context,
                                  this->send(requests[i], replies[i]),
                                  boost::asio::detached);
        }
        this->wait_until([this] { return this->left == 0; });
        return replies;
    }

    boost::asio::awaitable<void> send(http_request request, http_reply& reply)
    {
        reply = co_await this->client.send(std::move(request));
        --this->left;
    }

    // Runs the leaf until something is so; fails when it never is.
    void wait_until(const std::function<bool()>& reached)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!reached() && std::chrono::steady_clock::now() < end)
        {
            this->context.restart();
            this->context.run_one_for(10ms);
        }
        REQUIRE(reached());
    }

    http_request request(const std::string& query, bool execute = false,
                         int version = 1) const
    {
        http_request wanted;
        wanted.url = fmt::format("http://127.0.0.1:{}/v1/leaf", this->port);
        wanted.body = fmt::format(
            R"({{"request":"r","attempt":1,"service":"s","version":{},)"
            R"("shard":0,"deadline_ms":20000,"execute":{},"query":{}}})",
            version, execute, query);
        wanted.timeout = 20s;
        return wanted;
    }

    http_reply ask(const std::string& query = "{}", bool execute = false,
                   int version = 1)
    {
        return this->run({this->request(query, execute, version)}).front();
    }

    void show(fault_kind kind)
    {
        this->one->add_fault({kind});
    }

    boost::asio::io_context context;
    http_client client{context};
    std::shared_ptr<execution_log> log;
    std::shared_ptr<target_leaf> one;
    std::uint16_t port = 0;
    std::size_t left = 0;
};

TEST_CASE("a leaf answers, and refuses versions that it does not hold")
{
    leaf_fixture leaf;
    const http_reply reply = leaf.ask();
    CHECK(reply.status == 200);
    CHECK(
        reply.body.starts_with(R"({"request":"r","attempt":1,"service":"s")"));
    CHECK(leaf.ask("{}", false, 2).status == 409);
    CHECK(leaf.one->record().started == 1);
    CHECK(leaf.one->record().connections_opened == 1);
}

TEST_CASE("a leaf that is full sheds")
{
    leaf_fixture leaf;
    const auto replies = leaf.run({leaf.request("{}"), leaf.request("{}")});
    CHECK(replies[0].status + replies[1].status == 200 + 429);
    CHECK(leaf.one->record().shed == 1);
}

TEST_CASE("busy and draining leaves refuse until the fault is cleared")
{
    leaf_fixture leaf;
    leaf.show(fault_kind::busy);
    CHECK(leaf.ask().status == 429);
    leaf.show(fault_kind::drain);
    CHECK(leaf.ask().status == 503);
    leaf.one->clear_faults();
    CHECK(leaf.ask().status == 200);
    CHECK(leaf.one->record().started == 1);
}

TEST_CASE("replies are spoiled as the fault says")
{
    leaf_fixture leaf;
    leaf.show(fault_kind::wrong_echo);
    CHECK(leaf.ask().body.starts_with(R"({"request":"r-x")"));
    leaf.one->clear_faults();
    leaf.show(fault_kind::truncate);
    CHECK(leaf.ask().outcome == http_outcome::dropped);
    leaf.one->clear_faults();
    leaf.show(fault_kind::garbage);
    CHECK(leaf.ask().outcome == http_outcome::dropped);
    leaf.one->clear_faults();
    CHECK(leaf.ask().status == 200);
    CHECK(leaf.one->record().finished == 4);
}

TEST_CASE("a request to execute is counted though its reply is lost")
{
    leaf_fixture leaf;
    leaf.show(fault_kind::drop_connection);
    http_request request = leaf.request(R"({"key":"k"})", true);
    request.fresh_connection = true;
    CHECK(leaf.run({request}).front().outcome == http_outcome::dropped);
    CHECK(leaf.log->entries().at("k").started == 1);
}

TEST_CASE("a marked request crashes the leaf, which refuses and comes back")
{
    leaf_fixture leaf;
    CHECK(leaf.ask().status == 200);
    leaf.show(fault_kind::crash_on_mark);
    const http_outcome outcome = leaf.ask(R"({"poison":true})").outcome;
    CHECK((outcome == http_outcome::dropped ||
           outcome == http_outcome::connect_failed));
    CHECK(leaf.one->record().crashes >= 1);
    leaf.one->clear_faults();
    http_reply reply;
    while (reply.status != 200)
    {
        reply = leaf.ask();
        CHECK((reply.status == 200 || reply.status == 0));
    }
    CHECK(reply.new_connection);
}

TEST_CASE("a silent connection delivers nothing and a new one does")
{
    leaf_fixture leaf;
    CHECK(leaf.ask().status == 200);
    leaf.show(fault_kind::drop_silently);
    http_request old = leaf.request("{}");
    old.timeout = 50ms;
    CHECK(leaf.run({old}).front().outcome == http_outcome::timed_out);
    leaf.wait_until([&] { return leaf.one->record().unheard == 1; });
    http_request fresh = leaf.request("{}");
    fresh.fresh_connection = true;
    CHECK(leaf.run({fresh}).front().status == 200);
}

TEST_CASE("connections over the limit are closed")
{
    using boost::asio::ip::tcp;
    leaf_fixture leaf;
    const tcp::endpoint place(boost::asio::ip::address_v4::loopback(),
                              leaf.port);
    std::vector<tcp::socket> sockets;
    for (int i = 0; i < 3; ++i)
    {
        sockets.emplace_back(leaf.context).connect(place);
    }
    leaf.wait_until([&] { return leaf.one->record().connections_peak == 3; });
    CHECK(leaf.one->record().connections_refused == 1);
}

} // namespace
