/// Tests which hosts gather for others, and when delegation saves bytes.
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
    return {peer_address(own), [](const peer_address&, const link_message&)
            {
                return stream_position(0);
            }};
}

TEST_CASE("a host is used after its hello, and its standby when it is silent")
{
    delegate_pool pool = make_pool("a-0:1");
    pool.set_hosts(hosts_in("b", 3));
    const failure_domain domain("b");
    CHECK_FALSE(pool.usable_in(domain));
    const auto link_targets = pool.link_targets();
    REQUIRE(link_targets.size() == 2);
    pool.on_hello(link_targets[0].address);
    pool.on_hello(link_targets[1].address);
    CHECK(pool.usable_in(domain) == link_targets[0]);

    const auto number =
        pool.send(link_targets[0].address, {}, [](auto, const auto&) {});
    const instant now(1s);
    pool.note_overdue(number, now);
    CHECK(pool.usable_in(domain) == link_targets[1]);
    CHECK_FALSE(pool.link_timed_out(link_targets[0].address, now + 500ms));
    CHECK(pool.link_timed_out(link_targets[0].address, now + 1500ms));

    // A late report shows that the host is alive.
    subquery_report late;
    late.number = number;
    pool.on_report(link_targets[0].address, late, 1ms);
    CHECK(pool.usable_in(domain) == link_targets[0]);
}

TEST_CASE("a closed link ends each subquery that was pending on it")
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

TEST_CASE("a report from a host other than the subquery's is ignored")
{
    delegate_pool pool = make_pool("a-0:1");
    pool.set_hosts(hosts_in("b", 2));
    std::size_t reports = 0;
    const auto number = pool.send(peer_address("b-0:1"), {},
                                  [&reports](auto, const auto&) { ++reports; });
    subquery_report report;
    report.number = number;
    pool.on_report(peer_address("b-1:1"), report, 1ms);
    CHECK(reports == 0);
}

TEST_CASE("hosts of one domain spread their links over those of another")
{
    std::map<peer_address, int> chosen;
    for (int i = 0; i < 60; ++i)
    {
        delegate_pool pool = make_pool(fmt::format("a-{}:1", i));
        pool.set_hosts(hosts_in("b", 6));
        ++chosen[pool.link_targets().front().address];
    }
    CHECK(chosen.size() == 6);
    for (const auto& [host, count] : chosen)
    {
        CHECK(count <= 3 * 60 / 6);
    }
}

TEST_CASE("delegation is chosen where it saves bytes")
{
    // Ten parts of 1 kB, with 50 records in the answer.
    CHECK(delegation_saves_bytes({10, 50, 1'000, 200, 0}));
    // One part, all of whose records are wanted.
    CHECK_FALSE(delegation_saves_bytes({1, 500, 1'000, 200, 0}));
    // One part, most of whose records cannot be among the greatest.
    CHECK(delegation_saves_bytes({1, 50, 1'000, 200, 25}));
    // A large request is sent to one host instead of to each replica.
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

TEST_CASE("hosts of other domains gather, and hosts of the own domain call its "
          "replicas")
{
    std::vector<member> live{serving_host("a1", "a"), serving_host("a2", "a"),
                             serving_host("b1", "b"), serving_host("b2", "b"),
                             serving_host("b3", "b")};
    live[4].state = member_state::leaving;
    const std::set<http_address> serving{http_address("a1"), http_address("a2"),
                                         http_address("b1"),
                                         http_address("b3")};
    const auto chosen =
        choose_gathering_hosts(live, serving, failure_domain("a"));
    REQUIRE(chosen.delegates.size() == 1);
    CHECK(chosen.delegates[0].address.value == "b1-links");
    CHECK(chosen.local_host_count == 2);

    // A host of an earlier release accepts no subqueries and calls every
    // replica itself.
    live[2].links = {};
    const auto mixed =
        choose_gathering_hosts(live, serving, failure_domain("a"));
    CHECK(mixed.delegates.empty());
    CHECK(mixed.local_host_count == serving.size());
}

} // namespace
