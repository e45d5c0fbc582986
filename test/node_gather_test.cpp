#include "golden.hpp"
#include "node_session_fixture.hpp"

#include <algorithm>
#include <set>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Counts the recorded calls to a replica.
std::size_t calls_of(const scripted_targets& targets, const std::string& id)
{
    const std::string wanted = "  call " + id + "\n";
    std::size_t count = 0;
    for (auto at = targets.record.text.find(wanted); at != std::string::npos;
         at = targets.record.text.find(wanted, at + 1))
    {
        ++count;
    }
    return count;
}

TEST_CASE("golden: a query over shards is answered with all parts")
{
    node_session_fixture node;
    node.start("/all/x");
    node.run.run_until(2s);
    check_golden("node-gather-whole.txt", node.targets.record.text);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(node.replies[0].body.size() == 64);
    CHECK(node.replies[0].missing_parts == 0);
}

TEST_CASE("golden: a call to a paused replica is hedged and abandoned")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value,
                           call.to.value == "s2-a" ? 120ms : 5ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    check_golden("node-gather-hedge.txt", node.targets.record.text);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].missing_parts == 0);
    CHECK(node.answered_at[0] < 100ms);
}

TEST_CASE("just before the objective a query is answered with the parts it has")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        const bool slow = call.to.value.starts_with("s2");
        return good_answer(call.to.value, slow ? 700ms : 5ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(node.replies[0].missing_parts == 1);
    CHECK(node.replies[0].part_signatures.size() == 3);
    CHECK(node.answered_at[0] < 100ms);
    CHECK(node.answered_at[0] > 90ms);
}

TEST_CASE("the time spent on earlier attempts counts against the objective")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        const bool slow = call.to.value.starts_with("s2");
        return good_answer(call.to.value, slow ? 700ms : 5ms);
    };
    node.start("/all/x", 1500ms);
    node.run.run_until(2s);
    // The caller's second attempt, after it has waited for 60 ms.
    node.start("/all/x", 1440ms);
    node.run.run_until(4s);
    REQUIRE(node.replies.size() == 2);
    CHECK(node.answered_at[1] - 2s < 40ms);
}

TEST_CASE("below the coverage the answer waits past the objective for more "
          "parts")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        const bool slow =
            call.to.value.starts_with("s2") || call.to.value.starts_with("s3");
        return good_answer(call.to.value, slow ? 300ms : 5ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(node.answered_at[0] >= 300ms);
    CHECK(node.answered_at[0] < 400ms);
}

TEST_CASE("a query that cannot reach its coverage fails at once")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        const bool broken =
            call.to.value.starts_with("s2") || call.to.value.starts_with("s3");
        return broken ? shed() : good_answer(call.to.value, 50ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 502);
    CHECK(node.replies[0].retry_after.has_value());
    CHECK(node.answered_at[0] < 10ms);
}

TEST_CASE("a query is refused as not run when too many shards have no replica")
{
    node_session_fixture node;
    for (const char* const id : {"s1-a", "s1-b", "s2-a", "s2-b"})
    {
        node.targets.health(id).on_connect_failed(scripted_targets::now());
    }
    // Two of four shards are down before the query begins.
    std::set<std::string> asked;
    node.targets.behave = [&asked](const target_call& call, std::size_t)
    {
        asked.insert(call.to.value);
        return good_answer(call.to.value);
    };
    node.start("/all/x");
    node.run.run_until(1s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.answered_at[0] == 0ms);
    CHECK(asked.empty());
    CHECK(node.replies[0].status == 503);
}

TEST_CASE("a query is reported as not run when no call could be sent")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        return lost(call_end::unsent, 0ms);
    };
    node.start("/all/x");
    node.run.run_until(1s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
}

TEST_CASE("a signed failure of a leaf does not count as a part")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return call.to.value == "s1-a" ? failure(500)
                                       : good_answer(call.to.value);
    };
    node.start("/all/x");
    node.run.run_until(1s);
    REQUIRE(node.replies.size() == 1);
    CHECK(std::ranges::count(node.replies[0].part_signatures, "sig-failure") ==
          0);
    CHECK(node.replies[0].missing_parts == 0);
    CHECK(calls_of(node.targets, "s1-b") == 1);
}

TEST_CASE("no shard gets more calls than the route allows")
{
    node_session_fixture node;
    node.targets.add("s0-c", "s0", "a");
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return call.to.value.starts_with("s0") ? failure(500)
                                               : good_answer(call.to.value);
    };
    node.start("/all/x");
    node.run.run_until(1s);
    CHECK(calls_of(node.targets, "s0-a") + calls_of(node.targets, "s0-b") +
              calls_of(node.targets, "s0-c") ==
          2);
}

TEST_CASE("the calls of a query are abandoned when its caller disconnects")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, 400ms);
    };
    node.start("/all/x");
    node.run.run_until(5ms);
    node.caller->notify_disconnect();
    node.run.run_until(6ms);
    CHECK(node.replies.size() == 1);
    for (const char* const id : {"s0-a", "s1-a", "s2-a", "s3-a"})
    {
        CHECK(node.targets.record.text.find(std::string("give up ") + id) !=
              std::string::npos);
    }
}

TEST_CASE("a query ends at once when its caller disconnected before it began")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, 400ms);
    };
    node.start("/one/x");
    node.caller->notify_disconnect();
    node.run.run_until(1ms);
    CHECK(node.replies.size() == 1);
}

TEST_CASE("at peak load, retries of shed calls take precedence over hedges")
{
    // All calls are slow enough for a hedge, and each replica "a" sheds some of
    // them. The retry budget does not suffice for both.
    node_session_fixture node(4, 1.0);
    std::size_t sent = 0;
    std::size_t sheds = 0;
    node.targets.behave = [&](const target_call& call, std::size_t)
    {
        // Not a multiple of the number of shards, so that all of them shed.
        constexpr std::size_t shed_every = 21;
        if (call.to.value.ends_with("-a") && sent++ % shed_every == 0)
        {
            ++sheds;
            return shed();
        }
        return good_answer(call.to.value, 60ms);
    };
    constexpr std::size_t queries = 400;
    for (std::size_t i = 0; i < queries; ++i)
    {
        node.start("/all/x");
        node.run.run_until(10ms * (i + 1));
    }
    node.run.run_until(10s);
    REQUIRE(node.replies.size() == queries);
    CHECK(sheds > queries * 4 / 25);
    CHECK(std::ranges::all_of(node.replies, [](const caller_reply& one)
                              { return one.status == 200; }));
}

TEST_CASE("calls that break before the first answer do not fail a query")
{
    // Five calls break at once; all later ones are answered after 20 ms.
    node_session_fixture node(8, 1.0);
    node.targets.behave = [](const target_call& call, std::size_t sent)
    {
        return sent < 5 ? lost(call_end::broken, 1ms)
                        : good_answer(call.to.value, 20ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(node.replies[0].missing_parts == 0);
    CHECK(node.answered_at[0] < 100ms);
}

TEST_CASE("a query that breaks every call is not sent to further replicas")
{
    node_session_fixture node(8, 0.5);
    std::size_t calls = 0;
    node.targets.behave = [&calls](const target_call&, std::size_t sent)
    {
        ++calls;
        // The later ones are slow enough for a hedge.
        return lost(call_end::broken, sent < 5 ? 1ms : 60ms);
    };
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 502);
    // Two shards were retried before the third call broke.
    CHECK(calls <= 8 + 2);
    CHECK(node.answered_at[0] < 100ms);
}

TEST_CASE("hedges stay within the retry budget when every replica is slow")
{
    node_session_fixture node;
    node.budget.set_slack_share(0.25);
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, 200ms);
    };
    for (int i = 0; i < 200; ++i)
    {
        node.run.run_until(i * 20ms);
        node.start("/all/x");
    }
    node.run.run_until(8s);
    const std::size_t calls =
        calls_of(node.targets, "s0-a") + calls_of(node.targets, "s0-b");
    // At most a fifth of the 200 requests plus half of the slack.
    CHECK(calls <= 200 + 40 + 5);
    CHECK(calls > 200);
}

TEST_CASE("a hedge that cannot answer in time is not sent and not charged")
{
    // The first replica of a shard pauses briefly; the other one has a history
    // of slow answers.
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, call.to.value == "s2-a" ? 60ms : 5ms);
    };
    for (int i = 0; i < 60; ++i)
    {
        const instant now = scripted_targets::now();
        node.targets.health("s2-b").on_sent(now);
        node.targets.health("s2-b").on_answer(now, 200ms, 10ms,
                                              replica_load{2, 0, 2, 2.5}, true);
    }
    const double before =
        node.budget.left(service_name("s2"), scripted_targets::now());
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].missing_parts == 0);
    CHECK(node.answered_at[0] < 100ms);
    CHECK(calls_of(node.targets, "s2-b") == 0);
    CHECK(node.budget.left(service_name("s2"), scripted_targets::now()) >=
          before);
}

TEST_CASE("past the cutoff a hedge is sent even to a slow replica")
{
    node_session_fixture node(4, 1.0);
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value,
                           call.to.value == "s2-a" ? 900ms : 5ms);
    };
    for (int i = 0; i < 60; ++i)
    {
        const instant now = scripted_targets::now();
        node.targets.health("s2-b").on_sent(now);
        node.targets.health("s2-b").on_answer(now, 200ms, 10ms,
                                              replica_load{2, 0, 2, 2.5}, true);
    }
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(calls_of(node.targets, "s2-b") == 1);
    CHECK(node.answered_at[0] < 200ms);
}

} // namespace
