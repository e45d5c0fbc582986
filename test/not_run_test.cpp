/// Tests that a request which no replica can have received is answered 503, and
/// one that may have left this host is not.
#include "linked_hosts.hpp"
#include "node/connection/link_codec.hpp"
#include "node/process/delegate_links.hpp"
#include "node_session_fixture.hpp"
#include "target_pool_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

namespace asio = boost::asio;

target_script unsent_at_once(const target_call&, std::size_t)
{
    return lost(call_end::unsent, 0ms);
}

// A host with replicas and delegates in two other failure domains and none in
// its own.
class remote_replicas : public node_session_fixture
{
public:
    static constexpr std::size_t shards = 6;

    remote_replicas() : node_session_fixture(shards, 1.0)
    {
        for (std::size_t i = 0; i < shards; ++i)
        {
            const std::string service = fmt::format("s{}", i);
            this->targets.add(service + "-c", service, "c");
            this->targets.health(service + "-a")
                .on_connect_failed(scripted_targets::now());
        }
        this->targets.usual.answer_bytes = 1'000;
        this->targets.behave = unsent_at_once;
        const std::vector<delegate> hosts = {
            {peer_address("b:1"), failure_domain("b")},
            {peer_address("c:1"), failure_domain("c")}};
        this->delegates.set_hosts(hosts);
        for (const delegate& one : hosts)
        {
            this->delegates.on_hello(one.address);
        }
        this->send_link =
            [this](const peer_address& to, const link_message& message)
        {
            if (const auto* const one = std::get_if<subquery>(&message))
            {
                this->subqueries.emplace_back(to, *one);
            }
            return stream_position(0);
        };
    }

    // Reports the same about each shard of a subquery.
    void report(std::size_t number, missing_reason why)
    {
        const auto& [to, asked] = this->subqueries.at(number);
        subquery_report report;
        report.number = asked.number;
        for (const subquery_shard& one : asked.shards)
        {
            report.missing_shards.push_back({one.shard, why, {}});
        }
        this->delegates.on_report(to, report, 1ms);
    }

    std::vector<std::pair<peer_address, subquery>> subqueries;
};

// A host that accepts a link, and the links of another host to it.
class link_to_peer
{
public:
    link_to_peer()
        : acceptor(peer_context, {asio::ip::make_address("127.0.0.1"), 0}),
          peer(peer_context),
          host(fmt::format("127.0.0.1:{}",
                           this->acceptor.local_endpoint().port()))
    {
        this->pool.set_hosts(
            std::vector<delegate>{{this->host, failure_domain("b")}});
    }

    // Opens the link and waits until the host can be used.
    void open()
    {
        this->links.start(this->pool);
        this->context.run_for(10ms);
        this->peer = this->acceptor.accept();
        const std::string hello = encode_link_message(link_hello{});
        std::array<unsigned char, sizeof(std::uint32_t)> length{};
        boost::endian::store_big_u32(length.data(),
                                     static_cast<std::uint32_t>(hello.size()));
        asio::write(this->peer, std::array<asio::const_buffer, 2>{
                                    asio::buffer(length), asio::buffer(hello)});
        for (int i = 0; i < 1'000 && !this->usable(); ++i)
        {
            this->context.run_for(1ms);
        }
        REQUIRE(this->usable());
    }

    // Resets the connection; the other host has not noticed it yet.
    void reset()
    {
        this->peer.set_option(asio::socket_base::linger(true, 0));
        this->peer.close();
    }

    [[nodiscard]] bool usable() const
    {
        return this->pool.usable_in(failure_domain("b")).has_value();
    }

    void send()
    {
        subquery asked;
        asked.shards = {{3, {}}, {5, {}}};
        auto query = std::make_shared<caller_query>();
        query->id = request_id("r1");
        asked.query = query;
        this->pool.send(
            this->host, asked,
            [this](subquery_number, std::optional<subquery_report> report)
            { this->reports.push_back(std::move(report)); });
    }

    void await_reports(std::size_t count)
    {
        for (int i = 0; i < 1'000 && this->reports.size() < count; ++i)
        {
            this->context.run_for(1ms);
        }
    }

    // Returns whether a report says that nothing was sent for both shards.
    static bool not_sent(const std::optional<subquery_report>& report)
    {
        return report && report->missing_shards.size() == 2 &&
               std::ranges::all_of(
                   report->missing_shards, [](const missing_shard& one)
                   { return one.why == missing_reason::not_sent; });
    }

    asio::io_context context;
    asio::io_context peer_context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket peer;
    peer_address host;
    traffic_meter traffic;
    delegate_links links{context, traffic};
    delegate_pool pool{
        peer_address("10.0.0.1:1"),
        [this](const peer_address& to, const link_message& message)
        {
            return this->links.send(to, message);
        }};
    std::vector<std::optional<subquery_report>> reports;
};

TEST_CASE("a request that waits for a connection until its deadline has not "
          "run")
{
    const std::string target = GENERATE("/one/x", "/order/x");
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        return lost(call_end::unsent, 10s);
    };
    node.start(target);
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
    CHECK(node.replies[0].retry_after.has_value());
}

TEST_CASE("a request that one of its calls may have run is not reported as "
          "not run at its deadline")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t sent)
    {
        return lost(sent == 0 ? call_end::broken : call_end::unsent, 10s);
    };
    node.start("/one/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 504);
}

TEST_CASE("a query has not run when each of several delegates sent nothing")
{
    remote_replicas node;
    node.start("/all/x");
    node.run.run_until(60ms);
    // The second one replaces the first, which is silent.
    REQUIRE(node.subqueries.size() == 2);
    const bool all = GENERATE(true, false);
    node.report(0, all ? missing_reason::not_sent : missing_reason::failed);
    node.report(1, missing_reason::not_sent);
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == (all ? 503 : 502));
    CHECK(node.answered_at[0] < 62ms);
}

TEST_CASE("a query that each replica refuses to run has not run")
{
    linked_hosts hosts;
    hosts.behave([](const target_call&, std::size_t) { return shed(); });
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 503);
    CHECK(hosts.answered_at[0] < 10ms);
}

TEST_CASE("a query that some replica may have run is not reported as not run")
{
    const call_end end = GENERATE(call_end::broken, call_end::answered);
    linked_hosts hosts;
    hosts.behave(
        [end](const target_call& call, std::size_t)
        {
            const bool ran = call.to.value.starts_with("s2");
            return !ran                      ? shed()
                   : end == call_end::broken ? lost(call_end::broken)
                                             : failure(500);
        });
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 502);
}

TEST_CASE("a delegate whose calls all wait for a connection gives them up")
{
    const milliseconds timeout = GENERATE(1500ms, 60ms);
    linked_hosts hosts;
    // The first one measures the round trip.
    hosts.start("/all/w");
    hosts.run.run_until(50ms);
    hosts.far.behave = [](const target_call&, std::size_t)
    {
        return lost(call_end::unsent, 10s);
    };
    hosts.near.behave = unsent_at_once;
    hosts.start("/all/x", timeout);
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 2);
    CHECK(hosts.replies[1].status == 503);
    CHECK(hosts.answered_at[1] < 110ms);
    CHECK(linked_hosts::count(hosts.far.record.text, "  give up ") == 6);
    CHECK(hosts.subqueries.busy_count() == 0);
}

TEST_CASE("a delegate one of whose calls was sent keeps the others")
{
    linked_hosts hosts;
    hosts.far.behave = [](const target_call& call, std::size_t)
    {
        return call.to.value.starts_with("s2")
                   ? good_answer(call.to.value, 300ms)
                   : lost(call_end::unsent, 10s);
    };
    hosts.near.behave = unsent_at_once;
    hosts.start("/all/x");
    hosts.run.run_until(2s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].status == 504);
}

TEST_CASE("shards are called directly when the link to a delegate is closed")
{
    remote_replicas node;
    node.send_link = [](const peer_address&, const link_message&)
    {
        return std::nullopt;
    };
    const bool answers = GENERATE(true, false);
    if (answers)
    {
        node.targets.behave = [](const target_call& call, std::size_t)
        {
            return good_answer(call.to.value);
        };
    }
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == (answers ? 200 : 503));
    CHECK(node.answered_at[0] < 10ms);
}

TEST_CASE("a subquery to a host without a link is reported as not sent")
{
    link_to_peer node;
    node.pool.on_hello(node.host);
    node.send();
    REQUIRE(node.reports.size() == 1);
    CHECK(link_to_peer::not_sent(node.reports[0]));
    CHECK(node.pool.outstanding(node.host) == 0);
}

TEST_CASE("subqueries on a link that breaks before their bytes leave are "
          "reported as not sent")
{
    link_to_peer node;
    node.open();
    node.reset();
    node.send();
    node.send();
    node.await_reports(2);
    REQUIRE(node.reports.size() == 2);
    CHECK(link_to_peer::not_sent(node.reports[0]));
    CHECK(link_to_peer::not_sent(node.reports[1]));
}

TEST_CASE(
    "subqueries whose bytes may have left on a link that breaks later are "
    "not reported as not sent")
{
    link_to_peer node;
    node.open();
    node.send();
    // The second one waits until the first is written.
    const bool written = GENERATE(true, false);
    if (written)
    {
        node.context.run_for(5ms);
    }
    node.send();
    node.reset();
    node.await_reports(2);
    REQUIRE(node.reports.size() == 2);
    CHECK_FALSE(node.reports[0]);
    CHECK(node.reports[1].has_value() == !written);
}

TEST_CASE("a call on a connection that breaks before its bytes leave is unsent")
{
    asio::io_context peer_context;
    asio::ip::tcp::acceptor acceptor(peer_context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("body")}; });
    replica one;
    one.id = leaf_id("i-2");
    one.service = service_name("s");
    one.address = http_address(
        fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port()));
    one.slots = 4;
    node.pool.set_replica(one);
    node.context.run_for(10ms);
    asio::ip::tcp::socket peer = acceptor.accept();
    peer.set_option(asio::socket_base::linger(true, 0));
    const bool sent_before = GENERATE(false, true);
    if (sent_before)
    {
        node.start("one", false, 2s, "i-2");
    }
    peer.close();
    if (!sent_before)
    {
        node.start("one", false, 2s, "i-2");
    }
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end ==
          (sent_before ? call_end::broken : call_end::unsent));
}

TEST_CASE("callers without a configuration return later the longer it lasts")
{
    constexpr milliseconds patience = 6'000ms;
    node_session_fixture node;
    node.queries.set_routes(nullptr);
    const auto delays_at = [&node, patience](milliseconds time)
    {
        node.run.run_until(time);
        node.replies.clear();
        for (int i = 0; i < 50; ++i)
        {
            node.start("/one/x", patience);
        }
        node.run.run_until(time + 1ms);
        REQUIRE(node.replies.size() == 50);
        std::vector<milliseconds> delays;
        std::ranges::transform(node.replies, std::back_inserter(delays),
                               [](const caller_reply& one)
                               { return one.retry_after.value_or(0ms); });
        return std::ranges::minmax(delays);
    };
    const auto early = delays_at(100ms);
    CHECK(early.min >= 300ms);
    CHECK(early.max <= 650ms);
    const auto late = delays_at(10s);
    // No caller is told to wait for more than a third of its time.
    CHECK(late.max <= patience / 3);
    CHECK(late.min >= patience / 6);
    // Callers that are refused together do not return together.
    CHECK(late.max - late.min >= patience / 10);
}

TEST_CASE("a caller without a configuration is told to return in time")
{
    const milliseconds timeout = GENERATE(0ms, 90ms, 600ms, 1500ms);
    node_session_fixture node;
    node.queries.set_routes(nullptr);
    node.run.run_until(20s);
    node.start("/one/x", timeout);
    node.run.run_until(21s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
    REQUIRE(node.replies[0].retry_after);
    CHECK(*node.replies[0].retry_after > 0ms);
    CHECK(*node.replies[0].retry_after <= std::max(timeout / 3, 40ms));
}

} // namespace
