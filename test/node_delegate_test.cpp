/// Which hosts gather for others, and when that pays.
#include "node/process/delegate_pool.hpp"
#include "node/process/delegation_policy.hpp"
#include "node/process/gathering_hosts.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

std::vector<delegate> hosts_in(const std::string& domain, std::size_t count)
{
    std::vector<delegate> hosts;
    for (std::size_t i = 0; i < count; ++i)
    {
        hosts.push_back({peer_address(fmt::format("{}-{}:1", domain, i)),
                         failure_domain(domain)});
    }
    return hosts;
}

delegate_pool make_pool(const std::string& own)
{
    return {peer_address(own), [](const peer_address&, const link_message&) {
            }};
}

TEST_CASE("a host is used once it has greeted, and its stand-in after it fell "
          "silent")
{
    delegate_pool pool = make_pool("a-0:1");
    pool.set_hosts(hosts_in("b", 3));
    const failure_domain domain("b");
    CHECK_FALSE(pool.usable_in(domain));
    const auto linked = pool.linked();
    REQUIRE(linked.size() == 2);
    pool.on_hello(linked[0].address);
    pool.on_hello(linked[1].address);
    CHECK(pool.usable_in(domain) == linked[0]);

    const auto number =
        pool.send(linked[0].address, {}, [](auto, const auto&) {});
    const instant now(1s);
    pool.note_overdue(number, now);
    CHECK(pool.usable_in(domain) == linked[1]);
    CHECK_FALSE(pool.link_spent(linked[0].address, now + 500ms));
    CHECK(pool.link_spent(linked[0].address, now + 1500ms));

    // A late report shows that it lives.
    subquery_report late;
    late.number = number;
    pool.on_report(linked[0].address, late, 1ms);
    CHECK(pool.usable_in(domain) == linked[0]);
}

TEST_CASE("a link that ends tells each subquery that was out on it")
{
    delegate_pool pool = make_pool("a-0:1");
    pool.set_hosts(hosts_in("b", 1));
    const peer_address host("b-0:1");
    pool.on_hello(host);
    std::size_t ended = 0;
    for (int i = 0; i < 3; ++i)
    {
        pool.send(host, {},
                  [&ended](auto, const auto& report)
                  { ended += report ? 0 : 1; });
    }
    CHECK(pool.outstanding(host) == 3);
    pool.on_closed(host);
    CHECK(ended == 3);
    CHECK(pool.outstanding(host) == 0);
    CHECK_FALSE(pool.usable_in(failure_domain("b")));
}

TEST_CASE("a report of another host's subquery reaches nobody")
{
    delegate_pool pool = make_pool("a-0:1");
    pool.set_hosts(hosts_in("b", 2));
    std::size_t told = 0;
    const auto number = pool.send(peer_address("b-0:1"), {},
                                  [&told](auto, const auto&) { ++told; });
    subquery_report report;
    report.number = number;
    pool.on_report(peer_address("b-1:1"), report, 1ms);
    CHECK(told == 0);
}

TEST_CASE("hosts of one domain spread over those of another")
{
    std::map<peer_address, int> chosen;
    for (int i = 0; i < 60; ++i)
    {
        delegate_pool pool = make_pool(fmt::format("a-{}:1", i));
        pool.set_hosts(hosts_in("b", 6));
        ++chosen[pool.linked().front().address];
    }
    CHECK(chosen.size() == 6);
    for (const auto& [host, count] : chosen)
    {
        CHECK(count <= 3 * 60 / 6);
    }
}

TEST_CASE("gathering elsewhere is chosen where it saves bytes")
{
    // Ten parts of 1 kB of which 50 records are answered.
    CHECK(delegation_saves_bytes({10, 50, 1'000, 200, 0}));
    // One part whose records are all wanted.
    CHECK_FALSE(delegation_saves_bytes({1, 500, 1'000, 200, 0}));
    // The same when most of its records cannot be among the greatest.
    CHECK(delegation_saves_bytes({1, 50, 1'000, 200, 25}));
    // A large request is sent once instead of to each replica.
    CHECK(delegation_saves_bytes({2, 1'000, 1'000, 20'000, 0}));
}

member serving_host(const std::string& name, const std::string& domain)
{
    member one;
    one.address = peer_address(name);
    one.domain = failure_domain(domain);
    one.callers = http_address(name);
    one.links = peer_address(name + "-links");
    one.ready = true;
    return one;
}

TEST_CASE("hosts of other domains gather, and those of the own one call the "
          "replicas beside them")
{
    std::vector<member> live{serving_host("a1", "a"), serving_host("a2", "a"),
                             serving_host("b1", "b"), serving_host("b2", "b"),
                             serving_host("b3", "b")};
    live[4].state = member_state::leaving;
    const std::set<http_address> serving{http_address("a1"), http_address("a2"),
                                         http_address("b1"),
                                         http_address("b3")};
    const auto chosen = choose_gathering(live, serving, failure_domain("a"));
    REQUIRE(chosen.delegates.size() == 1);
    CHECK(chosen.delegates[0].address.value == "b1-links");
    CHECK(chosen.local_host_count == 2);

    // A host of an earlier release calls every replica itself.
    live[2].links = {};
    const auto mixed = choose_gathering(live, serving, failure_domain("a"));
    CHECK(mixed.delegates.empty());
    CHECK(mixed.local_host_count == serving.size());
}

} // namespace
