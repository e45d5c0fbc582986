#include "golden.hpp"
#include "scripted_leaves.hpp"

#include <set>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

constexpr std::uint64_t poison = 66;
constexpr std::uint64_t innocent = 7;

/// A relay whose leaves crash on every request with "poison" in its name.
class poisoned_session : public relay_session
{
public:
    poisoned_session(std::uint32_t shards, std::uint32_t replicas)
        : relay_session(shards, replicas)
    {
        for (const auto& [id, leaf] : this->configuration->leaves)
        {
            this->leaves.scripts[id.value] = [this](const scripted_call& call)
            {
                return this->reply(call);
            };
        }
    }

    std::set<std::string> lost_leaves;

private:
    scripted_reply reply(const scripted_call& call)
    {
        const auto name = call.body.value("request", "");
        if (name.find("poison") != std::string::npos)
        {
            this->lost_leaves.insert(call.leaf);
            return this->leaves.crash(call);
        }
        return served(call);
    }
};

TEST_CASE("a request that crashes targets costs two of them")
{
    poisoned_session session(1, 3);
    session.query("poison-1", {0}, 100ms, poison);
    session.run_until(200ms);
    session.query("poison-2", {0}, 100ms, poison);
    session.query("good", {0}, 100ms, innocent);
    session.run_until(400ms);
    check_golden("relay_quarantine.txt", session.record.text);
    CHECK(session.lost_leaves.size() == 2);
    REQUIRE(session.peers.results.size() == 3);
    CHECK(session.peers.results[0].code() ==
          static_cast<std::uint32_t>(result_code::quarantined));
    CHECK(session.peers.results[0].attempts() == 2);
    CHECK(session.peers.results[1].attempts() == 0);
}

TEST_CASE("a query on many shards shows on one that targets survive it")
{
    poisoned_session session(6, 2);
    wire::Envelope message;
    auto& asked = *message.mutable_shard_query();
    asked.set_request("poison-1");
    asked.set_service("desk");
    asked.set_version(3);
    asked.set_budget_us(100'000);
    asked.set_fingerprint(poison);
    asked.set_canary(true);
    for (std::uint32_t i = 0; i < 6; ++i)
    {
        asked.add_shards(i);
    }
    session.subject.receive(session.entry, std::move(message));
    session.run_until(300ms);
    CHECK(session.lost_leaves.size() == 2);
    CHECK(session.peers.results.size() == 6);
}

TEST_CASE("the same request at the same time still costs two targets")
{
    poisoned_session session(4, 2);
    for (std::uint32_t i = 0; i < 12; ++i)
    {
        session.query(fmt::format("poison-{}", i), {i % 4}, 150ms, poison);
    }
    session.run_until(400ms);
    CHECK(session.lost_leaves.size() == 2);
    CHECK(session.peers.results.size() == 12);
}

TEST_CASE("requests beside one that crashes targets are not quarantined")
{
    poisoned_session session(1, 2);
    session.query("good-1", {0}, 5s, innocent);
    session.query("poison-1", {0}, 5s, poison);
    session.query("good-2", {0}, 5s, innocent + 1);
    session.query("good-3", {0}, 5s, innocent + 2);
    session.run_until(5s);
    CHECK(session.lost_leaves.size() == 2);
    for (const auto& one : session.peers.results)
    {
        CHECK((one.code() == 0) == (one.attempts() > 0 && !one.leaf().empty()));
    }
    CHECK(std::ranges::count_if(session.peers.results, [](const auto& one)
                                { return one.code() == 0; }) == 3);
    const instant now = to_instant(virtual_clock::now());
    CHECK(session.subject.context.quarantines.size(now) == 1);
}

TEST_CASE("an ordinary restart of leaves quarantines nobody")
{
    relay_session session(1, 3);
    const auto restart = [&session](const scripted_call& call)
    {
        return call.body["request"] == "again" ? served(call)
                                               : session.leaves.crash(call);
    };
    // Step 1. Two leaves go down with unproven requests in progress.
    session.leaves.scripts["0-a"] = restart;
    for (std::uint64_t i = 0; i < 6; ++i)
    {
        session.query(fmt::format("first-{}", i), {0}, 5s, 100 + i);
    }
    session.run_until(6s);
    CHECK(session.peers.results.size() == 6);

    // Step 2. Another goes down with the same, now proven, requests.
    session.leaves.scripts.clear();
    session.leaves.scripts["0-b"] = restart;
    for (std::uint64_t i = 0; i < 6; ++i)
    {
        session.query(fmt::format("second-{}", i), {0}, 5s, 100 + i);
    }
    session.run_until(12s);
    CHECK(session.peers.results.size() == 12);
    const instant now = to_instant(virtual_clock::now());
    CHECK(session.subject.context.quarantines.size(now) == 0);
    CHECK(std::ranges::all_of(session.peers.results,
                              [](const auto& one) { return one.code() == 0; }));
}

TEST_CASE("a connection that drops while the leaf is up counts for nothing")
{
    relay_session session(1, 2);
    session.leaves.scripts["0-a"] =
        session.leaves.scripts["0-b"] = [](const scripted_call&)
    {
        return lost(http_outcome::dropped);
    };
    for (std::uint64_t i = 0; i < 6; ++i)
    {
        session.query(fmt::format("q-{}", i), {0}, 100ms, poison);
        session.run_until(relay_session::elapsed() + 200ms);
    }
    CHECK(session.subject.context.counts.leaves_lost == 0);
    CHECK(session.subject.context.quarantines.size(
              to_instant(virtual_clock::now())) == 0);
}

TEST_CASE("a quarantine ends by itself and one told by others holds")
{
    quarantine_table table;
    const instant start{};
    CHECK(table.look_up(fingerprint(1), start) == standing::unknown);
    CHECK(table.note_crash(fingerprint(1), leaf_id("a"), start,
                           standing::unknown) == standing::suspect);
    CHECK(table.note_crash(fingerprint(1), leaf_id("a"), start + 1ms,
                           standing::unknown) == standing::suspect);
    CHECK(table.note_crash(fingerprint(1), leaf_id("b"), start + 2ms,
                           standing::suspect) == standing::quarantined);
    CHECK(table.look_up(fingerprint(1), start + 59s) == standing::quarantined);
    CHECK(table.look_up(fingerprint(1), start + 61s) == standing::unknown);
    table.merge(fingerprint(2), start + 70s, start + 61s);
    CHECK(table.look_up(fingerprint(2), start + 65s) == standing::quarantined);
    table.note_served(fingerprint(3));
    CHECK(table.look_up(fingerprint(3), start) == standing::proven);

    // Several leaves lost at once to a proven request count as one.
    for (const char* leaf : {"a", "b", "c"})
    {
        CHECK(table.note_crash(fingerprint(3), leaf_id(leaf), start,
                               standing::proven) == standing::suspect);
    }
}

} // namespace
