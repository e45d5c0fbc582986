#include "golden.hpp"
#include "scripted_leaves.hpp"

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

bool all_complete(const relay_session& session)
{
    return std::ranges::all_of(session.peers.results,
                               [](const auto& one) { return one.code() == 0; });
}

result_code code_of(const wire::ShardResult& one)
{
    return to_result_code(one.code()).value_or(result_code::bad_reply);
}

TEST_CASE("a query on three shards is answered in one message")
{
    relay_session session(3);
    session.query("q1", {0, 1, 2});
    session.run_until(200ms);
    check_golden("relay_full_answer.txt", session.record.text);
    CHECK(session.subject.in_progress() == 0);
}

TEST_CASE("a late reply is hedged and the loser is cancelled")
{
    relay_session session(1);
    session.warm_up(40);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        return served(call, call.body["request"] == "q1" ? 80ms : 5ms);
    };
    session.query("q1", {0});
    session.run_until(600ms);
    check_golden("relay_straggler_hedged.txt", session.record.text);
}

TEST_CASE("hedges stay inside their budget")
{
    relay_session session(1);
    session.warm_up(40);
    std::size_t count = 0;
    session.leaves.scripts["0-a"] =
        session.leaves.scripts["0-b"] = [&count](const scripted_call& call)
    {
        return served(call, ++count % 4 == 0 ? 30ms : 5ms);
    };
    session.warm_up(2'000, 20ms);
    const auto& counts = session.subject.context.counts;
    CHECK(counts.hedges >= 20);
    CHECK(counts.hedges + counts.probes <= 2 + 2'040 * 3 / 100);
}

TEST_CASE("a query that is cancelled stops at its leaves and is not answered")
{
    relay_session session(2, 1);
    session.query("q1", {0, 1});
    session.run_until(2ms);
    session.cancel("q1");
    session.run_until(200ms);
    check_golden("relay_cancelled.txt", session.record.text);
    CHECK(session.peers.results.empty());
    CHECK(session.subject.in_progress() == 0);
}

TEST_CASE("a busy leaf is left alone for a while and another one serves")
{
    relay_session session(1);
    session.leaves.scripts["0-a"] = [](const scripted_call&)
    {
        return status(429);
    };
    session.warm_up(1);
    for (int i = 0; i < 200; ++i)
    {
        session.query(fmt::format("q{}", i), {0});
        session.run_until(relay_session::elapsed() + 10ms);
    }
    session.run_until(3s);
    CHECK(session.peers.results.size() == 200);
    CHECK(all_complete(session));
    CHECK(session.leaves.calls["0-a"] <= 20);
}

TEST_CASE("a leaf that says it is draining gets nothing more")
{
    relay_session session(1);
    session.leaves.scripts["0-a"] = [](const scripted_call&)
    {
        return status(503);
    };
    for (int i = 0; i < 20; ++i)
    {
        session.query(fmt::format("q{}", i), {0});
        session.run_until(relay_session::elapsed() + 10ms);
    }
    CHECK(session.peers.results.size() == 20);
    CHECK(all_complete(session));
    CHECK(session.leaves.calls["0-a"] == 1);
    CHECK(session.record.text.find("told leaving 0-a") != std::string::npos);
}

TEST_CASE("a leaf published as leaving gets nothing more, waiters included")
{
    relay_session session(1, 1);
    for (const char* name : {"q1", "q2", "q3"})
    {
        session.query(name, {0});
    }
    session.run_until(1ms);
    auto next = std::make_shared<system_state>(*session.state);
    next->leaving_leaves.insert(leaf_id("0-a"));
    session.subject.apply(next);
    session.run_until(50ms);
    CHECK(session.leaves.calls["0-a"] == 2);
    REQUIRE(session.peers.results.size() == 3);
    CHECK(std::ranges::count_if(
              session.peers.results, [](const auto& one)
              { return code_of(one) == result_code::no_replica; }) == 1);
}

TEST_CASE("replies that answer something else are never taken")
{
    const auto spoil =
        GENERATE(std::string("request"), "attempt", "service", "version",
                 "shard", "items", "garbage", "truncated", "409", "404");
    relay_session session(1);
    session.leaves.scripts["0-a"] = [spoil](const scripted_call& call)
    {
        scripted_reply reply = served(call);
        auto body = nlohmann::json::parse(reply.reply.body);
        body[spoil] = spoil == "version" ? nlohmann::json(2) : "x";
        reply.reply.body = body.dump();
        if (spoil == "garbage")
        {
            reply.reply.body = "\x01\xff{{{";
        }
        if (spoil == "truncated")
        {
            reply.reply.body.resize(20);
        }
        if (spoil == "409" || spoil == "404")
        {
            reply = status(std::stoi(spoil));
        }
        return reply;
    };
    for (int i = 0; i < 4; ++i)
    {
        session.query(fmt::format("q{}", i), {0});
        session.run_until(relay_session::elapsed() + 60ms);
    }
    CAPTURE(spoil);
    REQUIRE(session.peers.results.size() == 4);
    CHECK(session.leaves.calls["0-a"] >= 1);
    for (const auto& one : session.peers.results)
    {
        CHECK((one.leaf() == "0-b" || one.items().empty()));
        CHECK((one.code() == 0) == (one.leaf() == "0-b"));
    }
}

TEST_CASE("a reply after the deadline is dropped and counted")
{
    relay_session session(1, 1);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        return served(call, 25ms);
    };
    session.query("q1", {0}, 24'900us);
    session.run_until(300ms);
    REQUIRE(session.peers.results.size() == 1);
    CHECK(code_of(session.peers.results[0]) == result_code::deadline_exceeded);
    CHECK(session.subject.context.counts.late_replies == 1);
    CHECK(session.leaf("0-a").in_use == 0);
}

TEST_CASE("work that cannot end in time is refused as not run")
{
    relay_session session(1);
    session.warm_up(40);
    const auto calls = session.leaves.calls;
    session.query("q1", {0}, 2ms);
    session.run_until(relay_session::elapsed() + 10ms);
    REQUIRE(session.peers.results.size() == 1);
    CHECK(code_of(session.peers.results[0]) == result_code::budget_too_short);
    CHECK(session.leaves.calls == calls);
}

TEST_CASE("slots are never passed and go to the earliest deadline")
{
    relay_session session(1);
    for (int i = 0; i < 40; ++i)
    {
        session.query(fmt::format("late-{}", i), {0}, 2s);
    }
    session.query("early", {0}, 50ms);
    session.run_until(2s);
    CHECK(session.peers.results.size() == 41);
    CHECK(all_complete(session));
    CHECK(session.leaves.peak["0-a"] == 2);
    CHECK(session.leaves.peak["0-b"] == 2);
    const auto sent = session.record.text.find(" early#");
    const auto line = session.record.text.rfind('\n', sent) + 1;
    CHECK(session.record.text.substr(line, 12) == "    5.000 ms");
}

TEST_CASE("a relay that leaves finishes what it has and refuses the rest")
{
    relay_session session(1, 1);
    for (const char* name : {"q1", "q2", "q3", "q4"})
    {
        session.query(name, {0});
    }
    session.run_until(1ms);
    session.subject.shut_down();
    session.query("q5", {0});
    session.execute("x1");
    session.run_until(100ms);
    check_golden("relay_shutdown.txt", session.record.text);
    CHECK(session.subject.in_progress() == 0);
}

TEST_CASE("what was measured across a pause of the relay is discarded")
{
    relay_session session(1);
    session.warm_up(40);
    const auto before =
        session.subject.context.services[service_name("desk")].latency.quantile(
            0.99);
    for (int i = 0; i < 8; ++i)
    {
        session.query(fmt::format("q{}", i), {0}, 10s);
        session.run_until(relay_session::elapsed() + 1ms);
        relay_session::pause(2s);
        session.run_until(relay_session::elapsed() + 20ms);
    }
    CHECK(session.peers.results.size() == 8);
    CHECK_FALSE(session.leaf("0-a").put_aside);
    CHECK_FALSE(session.leaf("0-b").put_aside);
    CHECK(
        session.subject.context.services[service_name("desk")].latency.quantile(
            0.99) == before);
}

TEST_CASE("a connection gone silent makes older ones suspect")
{
    relay_session session(1);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        scripted_reply reply = served(call, 10s);
        reply.heeds_cancel = false;
        return reply;
    };
    session.warm_up(12, 100ms);
    session.run_until(4s);
    CHECK(session.subject.context.counts.silent_connections >= 1);
    CHECK(session.leaf("0-a").connection_age_limit(
              to_instant(virtual_clock::now())) >= 1s);
    CHECK(session.leaf("0-b").connection_age_limit(
              to_instant(virtual_clock::now())) == 0s);
    CHECK(session.leaf("0-a").in_use == 0);
}

} // namespace
