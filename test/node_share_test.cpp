#include "node/process/replica_share.hpp"
#include "node/process/route_latencies.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

// Returns the number of calls at one replica when each host has an unlimited
// supply and sees the calls of the others.
std::size_t saturate(std::size_t slots, std::size_t hosts)
{
    std::vector<std::size_t> own(hosts, 0);
    std::size_t total = 0;
    for (bool sent = true; sent;)
    {
        sent = false;
        for (std::size_t& one : own)
        {
            const replica_usage usage{slots, one,
                                      static_cast<double>(total - one)};
            if (may_send(usage, {hosts, true}))
            {
                ++one;
                ++total;
                sent = true;
            }
        }
    }
    return total;
}

TEST_CASE(
    "under overload the queue at a replica stays short and no slot is idle")
{
    const std::size_t slots = GENERATE(1U, 2U, 3U, 8U);
    const std::size_t hosts = GENERATE(1U, 2U, 6U, 7U, 30U);
    const std::size_t calls = saturate(slots, hosts);
    CHECK(calls >= slots);
    // Each host may have one call there, or its share of the slots and one
    // more.
    CHECK(calls <= std::max(slots + 1 + hosts - 1, hosts));
}

TEST_CASE("a single sending host may use every slot of an idle replica")
{
    CHECK(may_send({2, 1, 0.0}, {7, true}));
    CHECK_FALSE(may_send({2, 2, 0.0}, {7, true}));
    CHECK_FALSE(may_send({2, 1, 1.0}, {7, true}));
}

TEST_CASE("all hosts together stay within the connection limit of a replica")
{
    const std::size_t limit = GENERATE(26U, 43U, 62U, 110U);
    const std::size_t hosts = GENERATE(1U, 6U, 7U, 8U, 20U);
    const std::size_t together = hosts * connection_share(limit, {hosts, true});
    CHECK(together <= limit);
    CHECK(connection_share(limit, {hosts, true}) >= 1);
    CHECK(connection_share(limit, {hosts, false}) == 1);
}

TEST_CASE("stragglers do not change the usual latency of a route")
{
    route_latencies latencies;
    CHECK(latencies.of("g").usual > 0us);
    const instant start{1h};
    for (int i = 0; i < 200; ++i)
    {
        latencies.record_call("g", start + i * 10ms, i % 50 == 0 ? 900ms : 12ms,
                              100);
    }
    CHECK(latencies.of("g").usual < 20ms);
    CHECK(latencies.of("g").slow < 100ms);
    CHECK(latencies.of("other").usual == route_latencies().of("x").usual);
}

} // namespace
