#include "node/connection/peer_datagram.hpp"
#include "node/process/member_list.hpp"
#include "node/process/store_view.hpp"
#include "node/version/route_table.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

instant at(microseconds time)
{
    return instant(100s + time);
}

member describe(const std::string& address, std::uint64_t start = 1)
{
    member one;
    one.address = peer_address(address);
    one.start = incarnation(start);
    one.domain = failure_domain("a");
    return one;
}

// Runs probe rounds of `self`. Members that `answers` accepts answer the probe.
template <class Answers>
void run_rounds(member_list& self, microseconds from, microseconds to,
                Answers answers)
{
    for (microseconds now = from; now < to; now += 200ms)
    {
        for (const peer_address& one : self.next_probes(at(now)))
        {
            if (answers(one))
            {
                self.note_alive(one, at(now + 1ms));
            }
        }
    }
}

TEST_CASE("a member that does not answer is declared dead within two seconds")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("good"), at(0us));
    self.merge(describe("gone"), at(0us));
    run_rounds(self, 0ms, 2s,
               [](const peer_address& one) { return one.value == "good"; });
    REQUIRE(self.peers().size() == 1);
    CHECK(self.peers()[0].value == "good");
    // It still counts for shared limits for a while.
    CHECK(self.budget_host_count(at(2s)) == 3);
    CHECK(self.budget_host_count(at(60s)) == 2);
}

// A list with this many members, of which those from `first_dead` on died at
// the time 0.
member_list list_with_dead(std::size_t count, std::size_t first_dead)
{
    member_list self(describe("self"), at(0us));
    for (std::size_t i = 0; i < count; ++i)
    {
        member one = describe(fmt::format("host-{}", i));
        one.demands = {{demand_group(7), 5, 0}};
        self.merge(one, at(-1s));
        if (i >= first_dead)
        {
            one.counter = 1;
            one.state = member_state::dead;
            self.merge(one, at(0us));
        }
    }
    return self;
}

TEST_CASE("the share of a dead host in a limit is divided after some seconds")
{
    const member_list self = list_with_dead(6, 5);
    CHECK(self.limit_sharers(at(2s)).size() == 7);
    CHECK(self.limit_sharers(at(4s)).size() == 6);
}

TEST_CASE("a host that loses most others at once keeps to its share of a limit")
{
    const member_list self = list_with_dead(6, 1);
    CHECK(self.limit_sharers(at(4s)).size() == 7);
    CHECK(self.limit_sharers(at(30s)).size() == 2);
}

TEST_CASE("a description announces few demands and changes only with them")
{
    member_list self(describe("self"), at(0us));
    std::vector<host_demand> demands;
    for (std::uint32_t i = 0; i < 100; ++i)
    {
        demands.push_back({demand_group(i), 5, 5});
    }
    CHECK(self.set_demands(demands));
    CHECK(self.own().demands.size() < 20);
    peer_datagram datagram;
    datagram.from = self.own();
    CHECK(encode_datagram(datagram, at(0us)).size() < datagram_limit / 2);
    const auto counter = self.own().counter;
    CHECK_FALSE(self.set_demands(demands));
    CHECK(self.own().counter == counter);
    CHECK(self.set_demands({{demand_group(3), 0, 0}}));
    CHECK(self.own().demands.empty());
}

TEST_CASE("single lost datagrams do not make a member dead")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("good"), at(0us));
    int probes = 0;
    run_rounds(self, 0ms, 5s,
               [&probes](const peer_address&) { return ++probes % 3 != 0; });
    CHECK(self.peers().size() == 1);
}

TEST_CASE("a process refutes its own death with a larger counter")
{
    member_list self(describe("self", 1), at(0us));
    member received = describe("self", 1);
    received.state = member_state::dead;
    received.counter = 7;
    CHECK_FALSE(self.merge(received, at(0us)));
    CHECK(self.own().counter == 8);
    CHECK(self.own().state == member_state::alive);
}

TEST_CASE("the description of a restarted process replaces the old one")
{
    member_list other(describe("other"), at(0us));
    member old = describe("host", 1);
    old.counter = 9;
    other.merge(old, at(0us));
    member_list restarted(describe("host", 2), at(0us));
    CHECK_FALSE(other.merge(restarted.own(), at(1s)));
    restarted.merge(old, at(1s));
    CHECK(restarted.own().counter == 10);
    CHECK(other.merge(restarted.own(), at(2s)));
}

TEST_CASE("a repeated description changes nothing")
{
    member_list self(describe("self"), at(0us));
    CHECK(self.merge(describe("other"), at(0us)));
    CHECK_FALSE(self.merge(describe("other"), at(1s)));
    CHECK(self.take_changes().size() == 1);
    CHECK(self.take_changes().empty());
}

TEST_CASE("a description is gossiped a bounded number of times")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("other"), at(0us));
    int sent = 0;
    while (!self.gossip(4).empty() && sent < 100)
    {
        ++sent;
    }
    CHECK(sent > 0);
    CHECK(sent < 20);
}

TEST_CASE("hosts have distinct ranks, so that two of them read the store")
{
    const std::vector<std::string> names{"h1", "h2", "h3", "h4", "h5"};
    std::map<std::size_t, int> ranks;
    for (const auto& own : names)
    {
        member_list self(describe(own), at(0us));
        for (const auto& other : names)
        {
            if (other != own)
            {
                self.merge(describe(other), at(0us));
            }
        }
        ++ranks[self.rank()];
    }
    CHECK(ranks.size() == names.size());
}

TEST_CASE("a datagram carries limits and demands with their ages")
{
    peer_datagram sent;
    sent.from.demands = {{demand_group(7), 5, 0}, {demand_group(9), 0, 3}};
    sent.limits = {{leaf_id("i-1"), request_rate(23.8), at(0us), at(0us)},
                   {leaf_id("i-2"), std::nullopt, at(1s), at(0us)}};
    const auto received =
        decode_datagram(encode_datagram(sent, at(3s)), at(10s));
    REQUIRE(received);
    CHECK(received->from.demands == sent.from.demands);
    REQUIRE(received->limits.size() == 2);
    CHECK(received->limits[0].rate->value == Approx(23.8));
    CHECK(received->limits[0].confirmed == at(7s));
    CHECK_FALSE(received->limits[1].rate);
    CHECK(received->limits[1].confirmed == at(8s));
    // Hosts of earlier releases read an update that changes nothing.
    REQUIRE(received->update);
    CHECK(received->update->changes.empty());
}

TEST_CASE("a datagram carries quarantines with the time that is left")
{
    peer_datagram sent;
    sent.quarantines = {{fingerprint(7), {}, 59'500ms}};
    const auto received =
        decode_datagram(encode_datagram(sent, at(3s)), at(10s));
    REQUIRE(received);
    REQUIRE(received->quarantines.size() == 1);
    CHECK(received->quarantines[0].request_fingerprint == fingerprint(7));
    CHECK(received->quarantines[0].remaining == 59'500ms);
    // Hosts of earlier releases read the parts before it.
    CHECK(received->limits.empty());
    REQUIRE(received->update);
    CHECK(received->update->changes.empty());
}

TEST_CASE("a datagram with out-of-range values is rejected")
{
    peer_datagram sent;
    sent.suspected_crashes.push_back({fingerprint(1), leaf_id("i-1"), at(0us)});
    sent.gossip.emplace_back();
    REQUIRE(decode_datagram(encode_datagram(sent, at(0us)), at(0us)));
    SECTION("a negative CPU share")
    {
        sent.from.processor_share = -1;
    }
    SECTION("an infinite bandwidth of another host")
    {
        sent.gossip[0].link_mbps = std::numeric_limits<double>::infinity();
    }
    SECTION("a view that was confirmed in the future")
    {
        sent.age = milliseconds(-1);
    }
    SECTION("a crash in the future, which would be kept too long")
    {
        sent.suspected_crashes[0].at = at(1us);
    }
    SECTION("a limit that was confirmed in the future")
    {
        sent.limits.push_back(
            {leaf_id("i-1"), request_rate(1), at(1s), at(0us)});
    }
    SECTION("a negative limit")
    {
        sent.limits.push_back(
            {leaf_id("i-1"), request_rate(-1), at(0us), at(0us)});
    }
    SECTION("a quarantine that has ended")
    {
        sent.quarantines.push_back({fingerprint(1), {}, -1ms});
    }
    SECTION("a quarantine longer than any that is sent")
    {
        sent.quarantines.push_back({fingerprint(1), {}, std::chrono::hours(2)});
    }
    SECTION("a crash older than any that is sent")
    {
        sent.suspected_crashes[0].at = at(0us) - std::chrono::hours(24);
    }
    CHECK_FALSE(decode_datagram(encode_datagram(sent, at(0us)), at(0us)));
}

// Guards against a time in milliseconds that is in range only because its
// conversion to microseconds overflows.
TEST_CASE("a datagram with a time beyond the range of microseconds is rejected")
{
    using nlohmann::json;
    peer_datagram sent;
    sent.limits = {{leaf_id("i-1"), request_rate(1), at(0us), at(0us)}};
    sent.quarantines = {{fingerprint(1), {}, 1s}};
    const std::string bytes = encode_datagram(sent, at(0us));
    json message = json::from_msgpack(bytes);
    // 2^61 ms, of which the lower 64 bits are zero in microseconds.
    constexpr std::int64_t wraps_to_zero = std::int64_t{1} << 61;
    json& time = GENERATE(false, true) ? message.at(7).at(0).at(1)
                                       : message.at(8).at(0).at(1);
    time = wraps_to_zero;
    const auto changed = json::to_msgpack(message);
    CHECK_FALSE(
        decode_datagram(std::string(changed.begin(), changed.end()), at(0us)));
}

TEST_CASE(
    "datagrams survive a round trip through the codec, and malformed ones "
    "are rejected")
{
    peer_datagram sent;
    sent.kind = datagram_kind::probe;
    sent.from = describe("10.0.0.1:7380", 77);
    sent.from.ready = true;
    sent.position.revision = 41;
    sent.age = 250ms;
    sent.gossip = {describe("10.0.0.2:7380")};
    sent.suspected_crashes = {{fingerprint(5), leaf_id("i-1"), at(-40ms)}};
    sent.update = item_update{
        40, 41, {{"servers/x", std::nullopt, 41}, {"op/config", "c", 41}}};
    const std::string bytes = encode_datagram(sent, at(0us));
    const auto read = decode_datagram(bytes, at(0us));
    REQUIRE(read);
    CHECK(read->from.address == sent.from.address);
    CHECK(read->from.start == sent.from.start);
    CHECK(read->from.ready);
    CHECK(read->position.revision == 41);
    CHECK(read->age == 250ms);
    CHECK(read->gossip.size() == 1);
    REQUIRE(read->suspected_crashes.size() == 1);
    CHECK(read->suspected_crashes[0].at == at(-40ms));
    REQUIRE(read->update);
    CHECK(read->update->changes.size() == 2);
    CHECK_FALSE(read->update->changes[0].value);
    for (std::size_t length = 0; length < bytes.size(); ++length)
    {
        CHECK_FALSE(decode_datagram(bytes.substr(0, length), at(0us)));
    }
    CHECK_FALSE(decode_datagram("\x93garbage", at(0us)));
}

// A view and the changes that it passed to its listener.
struct recorded_view
{
    std::vector<std::string> changes;
    item_cache view{
        [this](const item_change& one)
        {
            this->changes.push_back(one.key + "=" + one.value.value_or("gone"));
        }};
};

TEST_CASE("a view never returns to an older revision")
{
    recorded_view recorded;
    CHECK(recorded.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}}) ==
          update_result::applied);
    CHECK(recorded.view.apply({10, 12, {{"a", "2", 12}}}) ==
          update_result::applied);
    CHECK(recorded.view.apply({0, 9, {{"a", "0", 4}}}) ==
          update_result::outdated);
    CHECK(recorded.view.apply({13, 14, {{"a", "3", 14}}}) ==
          update_result::gap);
    // Repeated and older changes do not call the listener.
    recorded.changes.clear();
    CHECK(recorded.view.apply({10, 12, {{"a", "2", 12}, {"a", "1", 5}}}) ==
          update_result::applied);
    CHECK(recorded.changes.empty());
    CHECK(recorded.view.position().revision == 12);
}

TEST_CASE("a full update removes the items that it does not contain")
{
    recorded_view recorded;
    recorded.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}});
    recorded.changes.clear();
    recorded.view.apply({0, 20, {{"b", "1", 6}}});
    CHECK(recorded.changes == std::vector<std::string>{"a=gone"});
}

TEST_CASE("another host is updated with only the changes that it lacks")
{
    recorded_view first;
    recorded_view second;
    first.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}});
    second.view.apply(first.view.since({{}, 0}));
    first.view.apply({10, 12, {{"a", std::nullopt, 11}, {"c", "1", 12}}});
    const item_update update = first.view.since({{}, 10});
    CHECK(update.after == 10);
    CHECK(update.changes.size() == 2);
    second.changes.clear();
    CHECK(second.view.apply(update) == update_result::applied);
    CHECK(second.view.position().revision == 12);
    CHECK(second.changes == std::vector<std::string>{"c=1", "a=gone"});
    // Changes since before the oldest recorded removal need a full update.
    CHECK(first.view.since({{}, 3}).after == 0);
}

TEST_CASE("an item that is written again after its removal is kept")
{
    recorded_view first;
    recorded_view second;
    first.view.apply({0, 10, {{"a", "1", 5}}});
    second.view.apply(first.view.since({{}, 0}));
    first.view.apply({10, 12, {{"a", std::nullopt, 11}, {"a", "2", 12}}});
    second.view.apply(first.view.since({{}, 10}));
    CHECK(second.changes.back() == "a=2");
}

TEST_CASE("the age of a view is the time since its latest confirmation")
{
    store_view state([](const item_change&) {});
    CHECK_FALSE(state.age(at(0us)));
    state.apply({0, 10, {{"a", "1", 5}}}, std::nullopt);
    CHECK_FALSE(state.age(at(0us)));
    state.confirm(at(0us));
    state.confirm(at(-1s));
    CHECK(state.age(at(2s)) == 2s);
}

TEST_CASE("a request is routed by the longest matching prefix")
{
    route wide;
    wide.name = "wide";
    wide.host = "h";
    wide.prefix = "/a/";
    wide.parts = {{service_name("s"), 1.0}};
    route narrow = wide;
    narrow.name = "narrow";
    narrow.prefix = "/a/b/";
    const route_table table(document_number(3), {wide, narrow}, {}, {});
    CHECK(table.find("h", "/a/x")->name == "wide");
    CHECK(table.find("h", "/a/b/x")->name == "narrow");
    CHECK(table.find("h", "/a/bx")->name == "wide");
    CHECK(table.find("h", "/a") == nullptr);
    CHECK(table.find("other", "/a/x") == nullptr);
}

// Returns the members of a host in domain "a" with `near` other hosts in "a"
// and `far` hosts in "b".
member_list members_with(std::size_t near, std::size_t far)
{
    member_list self(describe("self"), at(0us));
    for (std::size_t i = 0; i < near; ++i)
    {
        self.merge(describe(fmt::format("near-{}", i)), at(0us));
    }
    for (std::size_t i = 0; i < far; ++i)
    {
        member one = describe(fmt::format("far-{}", i));
        one.domain = failure_domain("b");
        self.merge(one, at(0us));
    }
    return self;
}

TEST_CASE(
    "a large domain mostly probes itself, other domains in one of five rounds")
{
    member_list self = members_with(10, 20);
    std::size_t near = 0;
    std::size_t far = 0;
    run_rounds(self, 0ms, 10s,
               [&](const peer_address& one)
               {
                   (one.value.starts_with("near") ? near : far) += 1;
                   return true;
               });
    CHECK(near == 40);
    CHECK(far == 10);
}

TEST_CASE("members of a small domain probe all hosts equally often")
{
    member_list self = members_with(1, 4);
    std::size_t far = 0;
    run_rounds(self, 0ms, 10s,
               [&](const peer_address& one)
               {
                   far += one.value.starts_with("far") ? 1 : 0;
                   return true;
               });
    CHECK(far == 40);
}

TEST_CASE("a domain that mostly probes itself detects the loss of another one")
{
    member_list self = members_with(10, 4);
    run_rounds(self, 0ms, 8s,
               [](const peer_address& one)
               { return one.value.starts_with("near"); });
    CHECK(self.peers().size() == 10);
}

TEST_CASE("a change is pushed to the own large domain and to two remote hosts")
{
    const member_list self = members_with(10, 20);
    for (std::uint64_t random = 0; random < 20; ++random)
    {
        const auto targets = self.push_targets(7, random);
        CHECK(targets.size() == 7);
        CHECK(std::ranges::count_if(targets, [](const peer_address& one)
                                    { return one.value.starts_with("far"); }) ==
              2);
    }
    CHECK(members_with(1, 20).push_targets(7, 1).size() == 7);
    CHECK(members_with(1, 1).push_targets(7, 1).size() == 2);
}

} // namespace
