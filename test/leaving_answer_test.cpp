/// Replicas whose answers say that they leave, whatever the store says.
#include "linked_hosts.hpp"
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

const std::string says_leaving = "Server-Leaving: 1\r\n";
constexpr milliseconds drain_timeout = 600ms;

instant steady_now()
{
    return to_instant(std::chrono::steady_clock::now());
}

std::string failure_with(const std::string& status, const std::string& more)
{
    return fmt::format("HTTP/1.1 {} Odd\r\n{}Content-Length: 0\r\n\r\n", status,
                       more);
}

/// A pool whose replica i-1 answers as prescribed; i-2 answers well.
struct leaving_fixture : pool_fixture
{
    explicit leaving_fixture(const std::string& first_answer,
                             bool another = true)
        : pool_fixture([this](const std::string&, std::size_t)
                       { return raw_action{this->take_next()}; }),
          next(first_answer)
    {
        this->pool.set_replica_drain_timeout(drain_timeout);
        if (another)
        {
            this->add_replica("i-2", this->other);
        }
    }

    std::string take_next()
    {
        return this->once ? std::exchange(this->next, "") : this->next;
    }

    /// Sends a call to a replica and waits for its end.
    call_end call(const std::string& id, const std::string& to = "i-1")
    {
        const std::size_t before = this->results.size();
        this->start(id, false, 2s, to);
        this->await_results(before + 1);
        REQUIRE(this->results.size() == before + 1);
        return this->results.back().end;
    }

    /// Returns what a session would choose; "none" when nothing.
    [[nodiscard]] std::string chosen(std::uint64_t random = 7,
                                     std::vector<leaf_id> asked = {}) const
    {
        const auto candidates = this->pool.candidates(service_name("s"));
        placement_query query;
        query.now = steady_now();
        query.usual = 10ms;
        query.random = random;
        query.asked = asked;
        const auto choice = choose_replica(candidates, query);
        return choice ? candidates[choice->index].target->id.value : "none";
    }

    /// Returns whether i-1 is left out of all of many choices.
    [[nodiscard]] bool spared() const
    {
        for (std::uint64_t random = 0; random < 2'000; random += 10)
        {
            if (this->chosen(random) == "i-1")
            {
                return false;
            }
        }
        return true;
    }

    /// Returns the entry of i-1, as a process that started at a known time.
    [[nodiscard]] replica entry(std::int64_t started) const
    {
        replica one = describe("i-1", this->server.address());
        one.started = started;
        return one;
    }

    void settle(milliseconds time = 100ms)
    {
        this->context.run_for(time);
    }

    std::string next;

    /// Whether only one call is answered with `next`, and others never.
    bool once = false;
    raw_server other{this->context, [](const std::string&, std::size_t)
                     {
                         return raw_action{answer("other")};
                     }};
};

// Guards against requests that are lost as a replica exits which the store, or
// its silence, still calls ready.
TEST_CASE("a replica that says that it leaves is chosen only if there is no "
          "other, and not at all after half its drain timeout")
{
    leaving_fixture node(answer("x", "", says_leaving));
    CHECK_FALSE(node.spared());
    CHECK(node.call("one") == call_end::answered);
    CHECK(node.pool.leaving_replica_count() == 1);
    CHECK(node.spared());
    CHECK(node.chosen(7, {leaf_id("i-2")}) == "i-1");

    node.settle(drain_timeout / 2 + 20ms);
    CHECK(node.spared());
    CHECK(node.chosen(7, {leaf_id("i-2")}) == "none");
    const auto candidates = node.pool.candidates(service_name("s"));
    CHECK(count_unavailable(candidates, {}).leaving == 1);
}

TEST_CASE("the only replica of a service gets requests for half its drain "
          "timeout after it said that it leaves, and none later")
{
    leaving_fixture node(answer("x", "", says_leaving), false);
    CHECK(node.call("first") == call_end::answered);
    CHECK(node.chosen() == "i-1");
    CHECK(node.call("before") == call_end::answered);
    node.settle(drain_timeout / 2 + 20ms);
    const std::size_t reads = node.server.reads.size();
    const std::size_t connections = node.server.connections;
    CHECK(node.chosen() == "none");
    CHECK(node.call("after") == call_end::unsent);
    node.settle();
    CHECK(node.server.reads.size() == reads);
    CHECK(node.server.connections == connections);
}

// Guards against calls that reach a replica long after it said that it leaves,
// because they waited for it.
TEST_CASE("calls that wait for a replica return when it says that it leaves, "
          "or at the end of its time as the last choice")
{
    constexpr std::size_t calls = 12;
    constexpr std::size_t slots = 4;
    const bool another = GENERATE(true, false);
    leaving_fixture node(answer("x", "", says_leaving), another);
    node.once = true;
    for (std::size_t i = 0; i < calls; ++i)
    {
        node.start(std::to_string(i), false, 10s);
    }
    node.settle();
    const auto unsent = [&node]
    {
        return static_cast<std::size_t>(std::ranges::count(
            node.results, call_end::unsent, &target_result::end));
    };
    if (another)
    {
        CHECK(unsent() >= calls - slots);
    }
    else
    {
        CHECK(unsent() == 0);
        node.settle(drain_timeout / 2);
        CHECK(unsent() >= calls - slots - 1);
    }
    const std::size_t reads = node.server.reads.size();
    CHECK(unsent() + reads == calls);
    node.settle();
    CHECK(node.server.reads.size() == reads);
}

TEST_CASE("idle connections to a replica that says that it leaves are closed, "
          "and none is opened in advance")
{
    leaving_fixture node(answer("x", "", says_leaving));
    CHECK(node.call("one") == call_end::answered);
    node.settle();
    const std::size_t connections = node.server.connections;
    CHECK(node.server.ended == connections);
    node.pool.set_serving_hosts(1, false);
    node.pool.set_serving_hosts(1, true);
    node.settle();
    CHECK(node.server.connections == connections);
}

// Guards against an entry, older than the answer, that calls the replica ready.
TEST_CASE("no entry of the same process undoes that it said that it leaves")
{
    leaving_fixture node(answer("x", "", says_leaving));
    node.pool.set_replica(node.entry(5));
    CHECK(node.call("one") == call_end::answered);
    const bool removed = GENERATE(false, true);
    if (removed)
    {
        node.pool.drop_replica(leaf_id("i-1"), 0ms);
    }
    const auto known = node.pool.find_known(leaf_id("i-1"));
    REQUIRE(known);
    CHECK(known->last.leaving);
    CHECK(restored_item_wait(node.entry(5), known, 3'600ms).has_value());

    const std::size_t connections = node.server.connections;
    node.pool.set_replica(node.entry(5));
    CHECK(node.spared());
    CHECK(node.pool.leaving_replica_count() == 1);
    node.settle(drain_timeout / 2 + 20ms);
    CHECK(node.call("late") == call_end::unsent);
    CHECK(node.server.connections == connections);
}

TEST_CASE("a new process under the id or at the address of one that said that "
          "it leaves gets requests")
{
    leaving_fixture node(answer("x", "", says_leaving));
    node.pool.set_replica(node.entry(5));
    CHECK(node.call("one") == call_end::answered);
    node.next = answer("x");
    const bool same_id = GENERATE(true, false);
    replica next = node.entry(6);
    if (!same_id)
    {
        next.id = leaf_id("i-3");
    }
    node.pool.set_replica(next);
    node.settle(drain_timeout / 2 + 20ms);
    CHECK(node.pool.leaving_replica_count() == (same_id ? 0 : 1));
    CHECK(node.call("two", next.id.value) == call_end::answered);
    CHECK(node.chosen(7, {leaf_id("i-2")}) == next.id.value);
}

TEST_CASE("a failure or a rejection says as well that a replica leaves")
{
    const std::string status = GENERATE("500", "503", "404");
    const std::string more =
        GENERATE(as<std::string>{}, "", "X-Not-Executed: 1\r\n");
    const bool copy = GENERATE(false, true);
    leaving_fixture node(failure_with(status, more));
    if (copy)
    {
        // What follows may be a copy of this answer, which is the replica's.
        CHECK(node.call("zero") == call_end::answered);
        CHECK(node.pool.leaving_replica_count() == 0);
    }
    node.next = failure_with(status, more + says_leaving);
    CHECK(node.call("one") == call_end::answered);
    CHECK(node.pool.leaving_replica_count() == 1);
    CHECK(node.spared());
}

TEST_CASE("a late answer to a call that was given up says that a replica "
          "leaves")
{
    leaving_fixture node(answer("x", "", says_leaving));
    const auto call = node.start("one");
    while (!call->on_wire)
    {
        node.context.run_one();
    }
    node.pool.abandon(call, 1s);
    CHECK(node.pool.leaving_replica_count() == 0);
    node.settle();
    CHECK(node.results.empty());
    CHECK(node.spared());
}

TEST_CASE("a health check that fails says that a replica leaves, and no "
          "further one is sent")
{
    leaving_fixture node("no HTTP\r\n\r\n");
    for (int i = 0; i < 4; ++i)
    {
        CHECK(node.call(std::to_string(i)) == call_end::broken);
    }
    const auto checks = [&node]
    {
        return std::ranges::count_if(node.server.reads, [](const auto& read)
                                     { return read.starts_with("GET /h"); });
    };
    node.next =
        failure_with("503", "X-Instance-Id: i-1\r\nServer-Leaving: 1\r\n");
    node.run([&node] { return node.pool.leaving_replica_count() > 0; });
    CHECK(node.pool.leaving_replica_count() == 1);
    CHECK(checks() == 1);
    node.settle(1'000ms);
    CHECK(checks() == 1);
}

// Guards against a replica lost for what another one says at its address.
TEST_CASE("an answer of another replica does not say that this one leaves")
{
    const std::string text =
        GENERATE(failure_with("421", says_leaving),
                 answer("x", "", says_leaving + "X-Instance-Id: i-9\r\n"));
    leaving_fixture node(text);
    node.pool.set_replica(node.entry(5));
    CHECK(node.call("one") == call_end::answered);
    node.pool.set_replica(node.entry(5));
    CHECK(node.pool.leaving_replica_count() == 0);
    CHECK_FALSE(node.spared());
}

TEST_CASE("an odd value of the header does not say that a replica leaves")
{
    const std::string value =
        GENERATE(as<std::string>{}, "", "0", "2", "-1", "true", "1.0", "1, 1",
                 "11", "1;q=0", "99999999999999999999", "\xff");
    http_response response(boost::beast::http::status::ok, 11);
    response.set("Server-Leaving", value);
    CHECK_FALSE(platform::leaf_codec::decode_reply(response).leaving);
    response.set("Server-Leaving", "1");
    CHECK(platform::leaf_codec::decode_reply(response).leaving);
}

TEST_CASE("a delisted replica is chosen before one that says that it leaves")
{
    leaving_fixture node(answer("x", "", says_leaving));
    CHECK(node.call("one") == call_end::answered);
    node.pool.drop_replica(leaf_id("i-2"), 2'000ms);
    CHECK(node.spared());
}

TEST_CASE("a delegate does not call a replica that told it that it leaves")
{
    const auto phase =
        GENERATE(leaving_phase::last_choice, leaving_phase::over);
    linked_hosts hosts(4, 1.0);
    hosts.far.set_leaving("s1-b", phase);
    hosts.start("/all/x");
    hosts.run.run_until(1s);
    REQUIRE(hosts.replies.size() == 1);
    CHECK(hosts.replies[0].missing_parts == 0);
    CHECK(hosts.far.record.text.find("call s1-b") == std::string::npos);
    CHECK(hosts.far.record.text.find("call s0-b") != std::string::npos);
}

} // namespace
