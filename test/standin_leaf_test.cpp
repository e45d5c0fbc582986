// Faults of the stand-in leaves as seen by a client over a real socket.
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

constexpr auto wait_limit = 60s;

/// A leaf with one slot, and an HTTP client.
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
        this->target = std::make_shared<target_leaf>(this->context, options,
                                                     about, 3, this->log);
        this->port = this->target->start("127.0.0.1:0");
        this->target->configure(
            about, {held_shard{service_name("s"), version_number(1),
                               shard_number(0)}});
    }

    // Sends requests concurrently and waits until all have completed.
    std::vector<http_reply> run(const std::vector<http_request>& requests)
    {
        std::vector<http_reply> replies(requests.size());
        this->pending = requests.size();
        for (std::size_t i = 0; i < requests.size(); ++i)
        {
            boost::asio::co_spawn(this->context,
                                  this->send(requests[i], replies[i]),
                                  boost::asio::detached);
        }
        this->wait_until([this] { return this->pending == 0; });
        return replies;
    }

    boost::asio::awaitable<void> send(http_request request, http_reply& reply)
    {
        reply = co_await this->client.send(std::move(request));
        --this->pending;
    }

    // Runs the io_context until the condition holds; fails after `wait_limit`.
    void wait_until(const std::function<bool()>& reached)
    {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
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

    http_reply send_query(const std::string& query = "{}", bool execute = false,
                          int version = 1)
    {
        return this->run({this->request(query, execute, version)}).front();
    }

    void inject(fault_kind kind)
    {
        this->target->add_fault({kind});
    }

    boost::asio::io_context context;
    http_client client{context};
    std::shared_ptr<execution_log> log;
    std::shared_ptr<target_leaf> target;
    std::uint16_t port = 0;
    std::size_t pending = 0;
};

TEST_CASE("a leaf replies, and refuses versions that it does not hold")
{
    leaf_fixture leaf;
    const http_reply reply = leaf.send_query();
    CHECK(reply.status == 200);
    CHECK(
        reply.body.starts_with(R"({"request":"r","attempt":1,"service":"s")"));
    CHECK(leaf.send_query("{}", false, 2).status == 409);
    CHECK(leaf.target->record().started == 1);
    CHECK(leaf.target->record().connections_opened == 1);
}

TEST_CASE("a leaf without a free slot or queue place sheds")
{
    leaf_fixture leaf;
    const auto replies = leaf.run({leaf.request("{}"), leaf.request("{}")});
    CHECK(replies[0].status + replies[1].status == 200 + 429);
    CHECK(leaf.target->record().shed == 1);
}

TEST_CASE("busy and draining leaves refuse until the fault is cleared")
{
    leaf_fixture leaf;
    leaf.inject(fault_kind::busy);
    CHECK(leaf.send_query().status == 429);
    leaf.inject(fault_kind::drain);
    CHECK(leaf.send_query().status == 503);
    leaf.target->clear_faults();
    CHECK(leaf.send_query().status == 200);
    CHECK(leaf.target->record().started == 1);
}

TEST_CASE("replies are corrupted according to the fault")
{
    leaf_fixture leaf;
    leaf.inject(fault_kind::wrong_echo);
    CHECK(leaf.send_query().body.starts_with(R"({"request":"r-x")"));
    leaf.target->clear_faults();
    leaf.inject(fault_kind::truncate);
    CHECK(leaf.send_query().outcome == http_outcome::dropped);
    leaf.target->clear_faults();
    leaf.inject(fault_kind::garbage);
    CHECK(leaf.send_query().outcome == http_outcome::dropped);
    leaf.target->clear_faults();
    CHECK(leaf.send_query().status == 200);
    CHECK(leaf.target->record().finished == 4);
}

TEST_CASE("a request to execute is counted when its reply is lost")
{
    leaf_fixture leaf;
    leaf.inject(fault_kind::drop_connection);
    http_request request = leaf.request(R"({"key":"k"})", true);
    request.fresh_connection = true;
    CHECK(leaf.run({request}).front().outcome == http_outcome::dropped);
    CHECK(leaf.log->entries().at("k").started == 1);
}

TEST_CASE("a poison query crashes the leaf, which refuses and restarts")
{
    leaf_fixture leaf;
    CHECK(leaf.send_query().status == 200);
    leaf.inject(fault_kind::crash_on_mark);
    const http_outcome outcome = leaf.send_query(R"({"poison":true})").outcome;
    CHECK((outcome == http_outcome::dropped ||
           outcome == http_outcome::connect_failed));
    CHECK(leaf.target->record().crashes >= 1);
    leaf.target->clear_faults();
    http_reply reply;
    while (reply.status != 200)
    {
        reply = leaf.send_query();
        CHECK((reply.status == 200 || reply.status == 0));
    }
    CHECK(reply.new_connection);
}

TEST_CASE("a silent connection drops requests and a new one does not")
{
    leaf_fixture leaf;
    CHECK(leaf.send_query().status == 200);
    leaf.inject(fault_kind::drop_silently);
    http_request old = leaf.request("{}");
    old.timeout = 50ms;
    CHECK(leaf.run({old}).front().outcome == http_outcome::timed_out);
    leaf.wait_until([&]
                    { return leaf.target->record().dropped_silently == 1; });
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
    leaf.wait_until([&]
                    { return leaf.target->record().connections_peak == 3; });
    CHECK(leaf.target->record().connections_refused == 1);
}

} // namespace
