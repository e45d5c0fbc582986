#include "process/membership.hpp"
#include "process/overlay.hpp"
#include "process/soft_state.hpp"
#include "version/host_list.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <deque>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

// Makes a description of a member.
wire::Member member(const std::string& host, std::uint64_t counter, bool dead,
                    std::uint64_t start = 1)
{
    wire::Member told;
    told.set_host(host);
    told.set_counter(counter);
    told.set_state(dead ? 1 : 0);
    told.set_incarnation(start);
    return told;
}

// Makes a host list of `size` hosts in six failure domains.
std::shared_ptr<const host_list> make_hosts(std::size_t size)
{
    auto list = std::make_shared<host_list>();
    for (std::size_t i = 0; i < size; ++i)
    {
        host one;
        one.id = host_id(fmt::format("h{:05}", i));
        one.domain = failure_domain(fmt::format("d{}", i % 6));
        one.agent = peer_address(fmt::format("a{}", i));
        list->hosts.push_back(one);
    }
    return list;
}

TEST_CASE("of two descriptions the same one holds in either order")
{
    const std::vector<wire::Member> told = {
        member("b", 0, false, 5), member("b", 0, true, 5),
        member("b", 1, false, 3), member("b", 0, true, 9)};
    for (const wire::Member& first : told)
    {
        for (const wire::Member& second : told)
        {
            membership one(host_id("a"), incarnation(1));
            membership other(host_id("a"), incarnation(1));
            one.set_members({host_id("a"), host_id("b")});
            other.set_members({host_id("a"), host_id("b")});
            one.merge(first);
            one.merge(second);
            other.merge(second);
            other.merge(first);
            CHECK(one.digests() == other.digests());
        }
    }
}

TEST_CASE("a live host refutes its death and its earlier incarnation")
{
    membership own(host_id("a"), incarnation(1));
    own.set_members({host_id("a")});
    CHECK(own.merge(member("a", 0, true)) == merge_outcome::news);
    CHECK(own.describe(host_id("a")).counter() == 1);
    CHECK(own.merge(member("a", 4, false, 99)) == merge_outcome::news);
    CHECK(own.describe(host_id("a")).counter() == 5);
    CHECK(own.describe(host_id("a")).incarnation() == 1);
    CHECK(own.merge(member("a", 3, true)) == merge_outcome::older);
    CHECK_FALSE(own.is_dead(host_id("a")));
}

TEST_CASE("hosts that the list does not name are not members")
{
    membership own(host_id("a"), incarnation(1));
    own.set_members({host_id("a"), host_id("b")});
    CHECK(own.merge(member("c", 1, true)) == merge_outcome::unknown);
    CHECK(own.declare_dead(host_id("b")));
    CHECK(own.dead().size() == 1);
    own.set_members({host_id("a")});
    CHECK(own.dead().empty());
}

TEST_CASE("the neighbours are few and connect all hosts in few steps")
{
    constexpr std::size_t size = 2000;
    constexpr std::size_t most_steps = 5;
    const auto hosts = make_hosts(size);
    std::map<host_id, std::vector<neighbour>> graph;
    for (const host& one : hosts->hosts)
    {
        overlay ring(one.id);
        ring.set_hosts(hosts);
        graph[one.id] = ring.neighbours({});
        CHECK(graph[one.id].size() <= 2 * overlay::ring_count);
    }
    std::map<host_id, std::size_t> steps = {{hosts->hosts.front().id, 0}};
    std::deque<host_id> open = {hosts->hosts.front().id};
    while (!open.empty())
    {
        const host_id id = open.front();
        open.pop_front();
        for (const neighbour& one : graph[id])
        {
            if (steps.emplace(one.id, steps[id] + 1).second)
            {
                open.push_back(one.id);
            }
        }
    }
    CHECK(steps.size() == size);
    CHECK(std::ranges::all_of(steps, [](const auto& entry)
                              { return entry.second <= most_steps; }));
}

TEST_CASE("two hosts of each failure domain watch, others when they go")
{
    const auto hosts = make_hosts(60);
    const auto watchers =
        [&](const std::set<host_id>& dead, const std::set<host_id>& leaving)
    {
        std::map<failure_domain, std::set<host_id>> chosen;
        for (const host& one : hosts->hosts)
        {
            overlay ring(one.id);
            ring.set_hosts(hosts);
            if (!dead.contains(one.id) && ring.is_watcher(dead, leaving))
            {
                chosen[one.domain].insert(one.id);
            }
        }
        return chosen;
    };
    const auto first = watchers({}, {});
    REQUIRE(first.size() == 6);
    for (const auto& [domain, ids] : first)
    {
        CHECK(ids.size() == overlay::watcher_count);
        const auto second = watchers(ids, {});
        CHECK(second.at(domain).size() == overlay::watcher_count);
        CHECK_FALSE(second.at(domain).contains(*ids.begin()));
    }
}

TEST_CASE("soft state does not keep itself going")
{
    soft_state one;
    soft_state other;
    wire::Soft told;
    told.add_leaving_leaves("x");
    REQUIRE(one.merge(told, 0ms));
    // The two tell each other all the time, with a delay.
    auto now = 0ms;
    while (now < 2 * soft_state::mark_time)
    {
        other.merge(one.all(now), now + 20ms);
        one.merge(other.all(now + 20ms), now + 40ms);
        now += 100ms;
        one.expire(now);
        other.expire(now);
    }
    CHECK(one.digest() == 0);
    CHECK(other.digest() == 0);
}

TEST_CASE("soft state is bounded")
{
    soft_state state;
    wire::Soft told;
    for (std::size_t i = 0; i < 2 * soft_state::entry_limit; ++i)
    {
        auto& one = *told.add_quarantines();
        one.set_fingerprint(i);
        one.set_remaining_ms(1000);
    }
    state.merge(told, 0ms);
    CHECK(static_cast<std::size_t>(state.all(0ms).quarantines_size()) ==
          soft_state::entry_limit);
}

} // namespace
