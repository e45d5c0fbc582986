#include "process/slow_replicas.hpp"
#include "scripted_leaves.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Slows these leaves by a factor of ten.
void slow_down(relay_session& session, const std::vector<std::string>& names)
{
    for (const std::string& name : names)
    {
        session.leaves.scripts[name] = [](const scripted_call& call)
        {
            return served(call, 50ms);
        };
    }
}

TEST_CASE("a slow replica is put aside, probed and taken back")
{
    relay_session session(1);
    session.warm_up(60, 20ms);
    slow_down(session, {"0-a"});
    session.warm_up(200, 20ms);
    CHECK(session.leaf("0-a").put_aside);
    CHECK_FALSE(session.leaf("0-b").put_aside);

    // Only probes reach it while it is aside.
    const auto calls = session.leaves.calls["0-a"];
    const auto probes = session.subject.context.counts.probes;
    session.warm_up(400, 20ms);
    CHECK(session.leaves.calls["0-a"] - calls ==
          session.subject.context.counts.probes - probes);
    const auto& counts = session.subject.context.counts;
    CHECK(counts.probes > probes);
    CHECK(counts.hedges + counts.probes <= 2 + counts.first_attempts * 3 / 100);

    session.leaves.scripts.clear();
    session.warm_up(800, 10ms);
    CHECK_FALSE(session.leaf("0-a").put_aside);
}

TEST_CASE("when all replicas are slow none is put aside")
{
    relay_session session(1, 4);
    session.warm_up(80, 20ms);
    slow_down(session, {"0-a", "0-b", "0-c", "0-d"});
    session.warm_up(200, 60ms);
    for (const char* name : {"0-a", "0-b", "0-c", "0-d"})
    {
        CHECK_FALSE(session.leaf(name).put_aside);
    }
}

TEST_CASE("at most half of the replicas are put aside")
{
    std::vector<std::shared_ptr<leaf_state>> leaves;
    for (const char* name : {"a", "b", "c", "d", "e"})
    {
        leaves.push_back(std::make_shared<leaf_state>(leaf_id(name)));
    }
    const instant now = instant{} + 10s;
    for (const auto& leaf : leaves)
    {
        for (int i = 0; i < 8; ++i)
        {
            leaf->latency.add(now, leaf->id.value == "e" ? 5ms : 50ms);
        }
    }
    for (const auto& leaf : leaves)
    {
        judge_slowness(*leaf, leaves, now);
    }
    CHECK(std::ranges::count_if(leaves, [](const auto& leaf)
                                { return leaf->put_aside; }) == 2);
}

TEST_CASE("load that only the others can serve goes to a leaf put aside")
{
    relay_session session(1);
    session.leaf("0-a").put_aside = true;
    auto next = std::make_shared<system_state>(*session.state);
    next->leaving_leaves.insert(leaf_id("0-b"));
    session.subject.apply(next);
    session.query("q1", {0});
    session.run_until(100ms);
    REQUIRE(session.peers.results.size() == 1);
    CHECK(session.peers.results[0].leaf() == "0-a");
}

} // namespace
