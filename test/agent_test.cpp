#include "agent_network.hpp"
#include "golden.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Tells whether an event was recorded.
bool recorded(const memory_fleet& fleet, const std::string& event)
{
    return fleet.record.find(event) != std::string::npos;
}

// Starts a fleet and lets the first document come into force everywhere.
void settle(memory_fleet& fleet)
{
    fleet.start_all();
    fleet.run_for(6s);
    REQUIRE(fleet.told(1) == fleet.size);
    fleet.record.clear();
}

// Publishes a document and runs until it should be in force.
void publish(memory_fleet& fleet, std::uint64_t number,
             virtual_clock::duration time = 7s)
{
    fleet.platform.set("document", memory_fleet::document_text(number));
    fleet.run_for(time);
}

TEST_CASE("a change is in force everywhere")
{
    memory_fleet fleet(8);
    fleet.start_all();
    fleet.run_for(6s);
    REQUIRE(fleet.told(1) == 8);
    publish(fleet, 2, 1s);
    CHECK(fleet.told(2) == 8);
    CHECK(fleet.with_dead() == 0);
    check_golden("agent_change.txt", fleet.record);
}

TEST_CASE("a restart while the platform is stale does not go back")
{
    memory_fleet fleet(6);
    settle(fleet);
    publish(fleet, 2, 2s);
    REQUIRE(fleet.told(2) == 6);
    publish(fleet, 1, 2s);
    fleet.record.clear();
    // The platform answers sooner than the peers.
    fleet.network.delay = 200ms;
    for (std::size_t i = 0; i < fleet.size; ++i)
    {
        fleet.kill(i);
        fleet.run_for(100ms);
        fleet.start(i);
        fleet.run_for(8s);
        CHECK(fleet.hosts.at(i)->first == 2);
    }
    CHECK(fleet.told(2) == 6);
    CHECK_FALSE(fleet.any_reverted());
    check_golden("agent_stale_restart.txt", fleet.record);
}

TEST_CASE("what a process of the host holds is never undercut")
{
    memory_fleet fleet(1);
    fleet.start(0);
    fleet.hosts.at(0)->told = 5;
    fleet.subscribe(0);
    fleet.run_for(10s);
    CHECK(fleet.number_at(0) == 0);
    CHECK(recorded(fleet, "value_lower_ignored value=document number=1"));
    publish(fleet, 6);
    CHECK(fleet.told(6) == 1);
}

TEST_CASE("two sides of a partition meet again")
{
    memory_fleet fleet(8);
    settle(fleet);
    fleet.move_to_side(4, 8, 1);
    fleet.run_for(20s);
    CHECK(fleet.with_dead() == 8);
    // One side alone reaches the platform and hears of a new document.
    fleet.cut_from_platform(4, 8, true);
    publish(fleet, 2);
    CHECK(fleet.told(2) == 4);
    CHECK(fleet.told(1) == 4);
    fleet.move_to_side(4, 8, 0);
    fleet.run_for(15s);
    CHECK(fleet.with_dead() == 0);
    CHECK(fleet.told(2) == 8);
    CHECK_FALSE(fleet.any_reverted());
    check_golden("agent_partition.txt", fleet.record);
}

TEST_CASE("a bad document is refused and reported, the next good one is taken")
{
    memory_fleet fleet(8);
    settle(fleet);
    fleet.platform.set("document", "[deployment]\nname = x\nversion = 2\n"
                                   "[service x]\nkind = nonsense\n");
    fleet.run_for(7s);
    CHECK(fleet.told(1) == 8);
    publish(fleet, 3);
    CHECK(fleet.told(3) == 8);
    check_golden("agent_bad_document.txt", fleet.record);
}

TEST_CASE("the same number with other bytes is refused and reported")
{
    memory_fleet fleet(8);
    settle(fleet);
    const auto before =
        fleet.hosts.at(0)->logic->state().values.find("document");
    fleet.platform.set("document", memory_fleet::document_text(1, "other"));
    fleet.run_for(7s);
    for (const auto& [index, one] : fleet.hosts)
    {
        const auto held = one->logic->state().values.find("document");
        CHECK(held->digest == before->digest);
    }
    CHECK(recorded(fleet, "value_refused value=document number=1 "
                          "outcome=conflict source=platform"));
}

TEST_CASE("a change spreads while messages are lost")
{
    memory_fleet fleet(8);
    settle(fleet);
    fleet.network.loss_percent = 20;
    publish(fleet, 2);
    CHECK(fleet.told(2) == 8);
}

TEST_CASE("a change that one host has spreads with the platform down")
{
    memory_fleet fleet(24);
    settle(fleet);
    fleet.platform.set("document", memory_fleet::document_text(2));
    fleet.run_for(60ms);
    fleet.platform.mode = platform_mode::down;
    fleet.run_for(7s);
    CHECK(fleet.told(2) == 24);
    CHECK(recorded(fleet, "platform_failed"));
}

TEST_CASE("garbage and slowness of the platform change nothing in force")
{
    memory_fleet fleet(4);
    settle(fleet);
    fleet.platform.mode = platform_mode::garbage;
    const std::uint64_t before = fleet.calls();
    fleet.run_for(10s);
    CHECK(fleet.told(1) == 4);
    CHECK(recorded(fleet, "value_faulty"));
    // Four agents may each make two calls a second and a burst of eight.
    CHECK(fleet.calls() - before <= std::uint64_t{4} * (2 * 10 + 8));
    fleet.platform.mode = platform_mode::slow;
    publish(fleet, 2);
    CHECK(fleet.told(2) == 4);
}

TEST_CASE("a platform that comes back and goes is called within the budget")
{
    memory_fleet fleet(4);
    settle(fleet);
    const std::uint64_t before = fleet.calls();
    for (int i = 0; i < 20; ++i)
    {
        fleet.platform.mode =
            i % 2 == 0 ? platform_mode::down : platform_mode::up;
        publish(fleet, i % 4 == 0 ? 2 : 1, 500ms);
    }
    fleet.platform.mode = platform_mode::up;
    publish(fleet, 3);
    CHECK(fleet.told(3) == 4);
    CHECK_FALSE(fleet.any_reverted());
    CHECK(fleet.calls() - before <= std::uint64_t{4} * (2 * 17 + 8));
}

TEST_CASE("a host that is gone is held for dead, and back when it returns")
{
    memory_fleet fleet(8);
    settle(fleet);
    fleet.kill(3);
    fleet.run_for(8s);
    CHECK(fleet.with_dead() == 7);
    fleet.start(3);
    fleet.run_for(4s);
    CHECK(fleet.with_dead() == 0);
    CHECK(fleet.told(1) == 8);
}

TEST_CASE("watchers that are gone are replaced")
{
    memory_fleet fleet(9);
    settle(fleet);
    for (std::size_t i = 0; i < fleet.size; ++i)
    {
        if (fleet.hosts.at(i)->logic->state().is_watcher())
        {
            fleet.kill(i);
        }
    }
    fleet.size = fleet.hosts.size();
    REQUIRE(fleet.size == 3);
    fleet.run_for(8s);
    publish(fleet, 2);
    CHECK(fleet.told(2) == 3);
}

TEST_CASE("quarantines and leaving leaves reach every host and end")
{
    memory_fleet fleet(8);
    settle(fleet);
    wire::Envelope envelope;
    wire::Soft& soft = *envelope.mutable_soft();
    soft.add_leaving_leaves("cd-00-a");
    auto& quarantine = *soft.add_quarantines();
    quarantine.set_fingerprint(7);
    quarantine.set_remaining_ms(5000);
    fleet.network.send(fleet.hosts.at(0)->process,
                       memory_fleet::agent_address(0), std::move(envelope));
    fleet.run_for(3s);
    for (const auto& [index, one] : fleet.hosts)
    {
        const wire::Soft held = one->logic->state().soft.all(0ms);
        CHECK(held.quarantines_size() == 1);
        CHECK(held.leaf_marks_size() == 1);
    }
    fleet.run_for(3s);
    for (const auto& [index, one] : fleet.hosts)
    {
        CHECK(one->logic->state().soft.all(0ms).quarantines_size() == 0);
    }
    fleet.run_for(soft_state::mark_time);
    for (const auto& [index, one] : fleet.hosts)
    {
        CHECK(one->logic->state().soft.digest() == 0);
    }
}

TEST_CASE("a process that was paused does not declare others dead")
{
    memory_fleet fleet(8);
    settle(fleet);
    // Questions are on their way while all timers are late by a minute.
    fleet.network.delay = 200ms;
    fleet.run_for(3s);
    REQUIRE(fleet.with_dead() == 0);
    virtual_clock::current += 60s;
    fleet.run_for(2s);
    CHECK_FALSE(recorded(fleet, "host_dead"));
    CHECK(fleet.with_dead() == 0);
}

TEST_CASE("a host that starts while the platform is down is fed by its peers")
{
    memory_fleet fleet(8);
    settle(fleet);
    fleet.platform.mode = platform_mode::down;
    fleet.seeds = {memory_fleet::agent_address(0)};
    fleet.kill(3);
    fleet.start(3);
    fleet.run_for(5s);
    CHECK(fleet.told(1) == 8);
}

TEST_CASE("neither peers nor platform: nothing is told, later what is found")
{
    memory_fleet fleet(4);
    fleet.platform.mode = platform_mode::down;
    fleet.start_all();
    fleet.run_for(10s);
    CHECK(fleet.told(0) == 4);
    fleet.platform.mode = platform_mode::up;
    fleet.run_for(10s);
    CHECK(fleet.told(1) == 4);
}

} // namespace
