#include "node/connection/peer_datagram.hpp"
#include "node/process/member_list.hpp"
#include "node/process/store_view.hpp"
#include "node/version/route_table.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
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

// Rounds of probes of `self`; those that `answers` accepts are answered.
template <class Answers>
void run_rounds(member_list& self, microseconds from, microseconds to,
                Answers answers)
{
    for (microseconds now = from; now < to; now += 200ms)
    {
        for (const peer_address& one : self.probe(at(now)))
        {
            if (answers(one))
            {
                self.note_alive(one, at(now + 1ms));
            }
        }
    }
}

TEST_CASE("a member that does not answer is held for dead within two seconds")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("good"), at(0us));
    self.merge(describe("gone"), at(0us));
    run_rounds(self, 0ms, 2s,
               [](const peer_address& one) { return one.value == "good"; });
    REQUIRE(self.peers().size() == 1);
    CHECK(self.peers()[0].value == "good");
    // Its share of common bounds is kept for a while.
    CHECK(self.share_count(at(2s)) == 3);
    CHECK(self.share_count(at(60s)) == 2);
}

TEST_CASE("one lost datagram does not make a member dead")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("good"), at(0us));
    int probes = 0;
    run_rounds(self, 0ms, 5s,
               [&probes](const peer_address&) { return ++probes % 3 != 0; });
    CHECK(self.peers().size() == 1);
}

TEST_CASE(
    "a process that hears that it is dead speaks up with a larger counter")
{
    member_list self(describe("self", 1), at(0us));
    member told = describe("self", 1);
    told.state = member_state::dead;
    told.counter = 7;
    CHECK_FALSE(self.merge(told, at(0us)));
    CHECK(self.own().counter == 8);
    CHECK(self.own().state == member_state::alive);
}

TEST_CASE("a process that starts anew replaces the one before it")
{
    member_list other(describe("other"), at(0us));
    member old = describe("host", 1);
    old.counter = 9;
    other.merge(old, at(0us));
    member_list anew(describe("host", 2), at(0us));
    CHECK_FALSE(other.merge(anew.own(), at(1s)));
    anew.merge(old, at(1s));
    CHECK(anew.own().counter == 10);
    CHECK(other.merge(anew.own(), at(2s)));
}

TEST_CASE("a description that is told again and again changes nothing")
{
    member_list self(describe("self"), at(0us));
    CHECK(self.merge(describe("other"), at(0us)));
    CHECK_FALSE(self.merge(describe("other"), at(1s)));
    CHECK(self.take_changes().size() == 1);
    CHECK(self.take_changes().empty());
}

TEST_CASE("news is told a bounded number of times")
{
    member_list self(describe("self"), at(0us));
    self.merge(describe("other"), at(0us));
    int told = 0;
    while (!self.gossip(4).empty() && told < 100)
    {
        ++told;
    }
    CHECK(told > 0);
    CHECK(told < 20);
}

TEST_CASE("two hosts read the store, the same for all")
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

TEST_CASE("a datagram with figures that no host has is not read")
{
    peer_datagram sent;
    sent.suspected_crashes.push_back({fingerprint(1), leaf_id("i-1"), at(0us)});
    sent.gossip.emplace_back();
    REQUIRE(decode_datagram(encode_datagram(sent, at(0us)), at(0us)));
    SECTION("a negative share of a core")
    {
        sent.from.processor_share = -1;
    }
    SECTION("a bandwidth without bound, of another host")
    {
        sent.gossip[0].link_mbps = std::numeric_limits<double>::infinity();
    }
    SECTION("a view that was confirmed in the time to come")
    {
        sent.age = milliseconds(-1);
    }
    SECTION("a strike in the time to come, which would be kept too long")
    {
        sent.suspected_crashes[0].at = at(1us);
    }
    SECTION("a strike older than any that is told")
    {
        sent.suspected_crashes[0].at = at(0us) - std::chrono::hours(24);
    }
    CHECK_FALSE(decode_datagram(encode_datagram(sent, at(0us)), at(0us)));
}

TEST_CASE("datagrams are read as they were written, and garbage is not")
{
    peer_datagram sent;
    sent.kind = datagram_kind::probe;
    sent.from = describe("10.0.0.1:7380", 77);
    sent.from.ready = true;
    sent.revision = 41;
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
    CHECK(read->revision == 41);
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

// A view and what it told its listener.
struct recorded_view
{
    std::vector<std::string> told;
    item_cache view{
        [this](const item_change& one)
        {
            this->told.push_back(one.key + "=" + one.value.value_or("gone"));
        }};
};

TEST_CASE("a view never goes back")
{
    recorded_view held;
    CHECK(held.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}}));
    CHECK(held.view.apply({10, 12, {{"a", "2", 12}}}));
    CHECK_FALSE(held.view.apply({0, 9, {{"a", "0", 4}}}));
    CHECK_FALSE(held.view.apply({13, 14, {{"a", "3", 14}}}));
    // The same changes again, and older ones, tell nothing.
    held.told.clear();
    CHECK(held.view.apply({10, 12, {{"a", "2", 12}, {"a", "1", 5}}}));
    CHECK(held.told.empty());
    CHECK(held.view.revision() == 12);
}

TEST_CASE("a whole view removes what it does not name")
{
    recorded_view held;
    held.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}});
    held.told.clear();
    held.view.apply({0, 20, {{"b", "1", 6}}});
    CHECK(held.told == std::vector<std::string>{"a=gone"});
}

TEST_CASE("another host is brought up to date by what it lacks")
{
    recorded_view first;
    recorded_view second;
    first.view.apply({0, 10, {{"a", "1", 5}, {"b", "1", 6}}});
    second.view.apply(first.view.since(0));
    first.view.apply({10, 12, {{"a", std::nullopt, 11}, {"c", "1", 12}}});
    const item_update update = first.view.since(10);
    CHECK(update.after == 10);
    CHECK(update.changes.size() == 2);
    second.told.clear();
    CHECK(second.view.apply(update));
    CHECK(second.view.revision() == 12);
    CHECK(second.told == std::vector<std::string>{"c=1", "a=gone"});
    // What came before the oldest removal that is remembered is sent whole.
    CHECK(first.view.since(3).after == 0);
}

TEST_CASE("an item that was removed and written again is kept")
{
    recorded_view first;
    recorded_view second;
    first.view.apply({0, 10, {{"a", "1", 5}}});
    second.view.apply(first.view.since(0));
    first.view.apply({10, 12, {{"a", std::nullopt, 11}, {"a", "2", 12}}});
    second.view.apply(first.view.since(10));
    CHECK(second.told.back() == "a=2");
}

TEST_CASE("the age of a view counts from when the store confirmed it")
{
    store_view state([](const item_change&) {});
    CHECK_FALSE(state.age(at(0us)));
    state.apply({0, 10, {{"a", "1", 5}}}, std::nullopt);
    CHECK_FALSE(state.age(at(0us)));
    state.confirm(at(0us));
    state.confirm(at(-1s));
    CHECK(state.age(at(2s)) == 2s);
}

TEST_CASE("the route with the longest prefix takes a request")
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

// A host in domain "a" with as many others there and in "b" as given.
member_list with_neighbours(std::size_t near, std::size_t far)
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

TEST_CASE("a large domain watches itself and looks at others now and then")
{
    member_list self = with_neighbours(10, 20);
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

TEST_CASE("members of a small domain probe all others alike")
{
    member_list self = with_neighbours(1, 4);
    std::size_t far = 0;
    run_rounds(self, 0ms, 10s,
               [&](const peer_address& one)
               {
                   far += one.value.starts_with("far") ? 1 : 0;
                   return true;
               });
    CHECK(far == 40);
}

TEST_CASE("the loss of another domain is noticed by a domain that watches "
          "itself")
{
    member_list self = with_neighbours(10, 4);
    run_rounds(self, 0ms, 8s,
               [](const peer_address& one)
               { return one.value.starts_with("near"); });
    CHECK(self.peers().size() == 10);
}

TEST_CASE("a change is told to a large domain and to some of the others")
{
    const member_list self = with_neighbours(10, 20);
    for (std::uint64_t random = 0; random < 20; ++random)
    {
        const auto told = self.listeners(7, random);
        CHECK(told.size() == 7);
        CHECK(std::ranges::count_if(told, [](const peer_address& one)
                                    { return one.value.starts_with("far"); }) ==
              2);
    }
    CHECK(with_neighbours(1, 20).listeners(7, 1).size() == 7);
    CHECK(with_neighbours(1, 1).listeners(7, 1).size() == 2);
}

} // namespace
