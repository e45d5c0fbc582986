/// Tests of hedges while the replicas have no slots to spare.
#include "node/process/gather_policy.hpp"
#include "node/process/room_meter.hpp"
#include "node_session_fixture.hpp"
#include "queued_targets.hpp"
#include "sample_query.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

instant at(microseconds time)
{
    return instant(100s + time);
}

// Notes answers one millisecond apart; of each ten, `waiting` have calls that
// wait. Returns the number of changes of belief.
std::size_t note_answers(room_meter& meter, microseconds from,
                         std::size_t count, std::size_t waiting)
{
    std::size_t changes = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        const replica_load load{2, i % 10 < waiting ? 1U : 0U, 2, 1.0};
        changes += meter.note(load, at(from + i * 1ms)) ? 1 : 0;
    }
    return changes;
}

TEST_CASE("room is scarce when most answers tell of waiting calls")
{
    room_meter meter;
    CHECK_FALSE(meter.scarce(at(0us)));
    note_answers(meter, 0us, 1000, 2);
    CHECK_FALSE(meter.scarce(at(1000ms)));
    note_answers(meter, 1000ms, 1000, 9);
    CHECK(meter.scarce(at(2000ms)));
    note_answers(meter, 2000ms, 1000, 4);
    CHECK(meter.scarce(at(3000ms)));
    note_answers(meter, 3000ms, 1000, 1);
    CHECK_FALSE(meter.scarce(at(4000ms)));
}

TEST_CASE("a few answers and old ones make no room scarce")
{
    room_meter meter;
    note_answers(meter, 0us, 5, 10);
    CHECK_FALSE(meter.scarce(at(5ms)));
    note_answers(meter, 5ms, 500, 10);
    CHECK(meter.scarce(at(505ms)));
    CHECK_FALSE(meter.scarce(at(3s)));
}

TEST_CASE("the belief about room changes a few times a second at the most")
{
    room_meter meter;
    std::size_t changes = 0;
    for (std::size_t i = 0; i < 200; ++i)
    {
        changes += note_answers(meter, i * 50ms, 50, i % 2 == 0 ? 10 : 0);
    }
    CHECK(changes <= 50);
}

TEST_CASE("a hedge finds room at a replica with a free slot")
{
    replica_health health(2, milliseconds(0), at(0us));
    health.on_probe(at(0us), true, replica_load{0, 0, 2, 1.0});
    CHECK(finds_room(health, at(1ms), false));
    CHECK_FALSE(finds_room(health, at(1ms), true));
    health.on_sent(at(1ms));
    CHECK(finds_room(health, at(1ms), false));
    health.on_sent(at(1ms));
    CHECK_FALSE(finds_room(health, at(1ms), false));
}

TEST_CASE("a replica that reports no load is taken to have room")
{
    replica_health health(2, milliseconds(0), at(0us));
    for (int i = 0; i < 5; ++i)
    {
        health.on_sent(at(0us));
    }
    CHECK(finds_room(health, at(1ms), false));
}

std::size_t calls_of(const scripted_targets& targets, const std::string& id)
{
    const std::string wanted = "  call " + id + "\n";
    std::size_t count = 0;
    for (auto at = targets.record.text.find(wanted); at != std::string::npos;
         at = targets.record.text.find(wanted, at + 1))
    {
        ++count;
    }
    return count;
}

TEST_CASE("without room a slow shard is hedged at the cutoff only")
{
    node_session_fixture node(4, 1.0);
    node.targets.scarce = true;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value,
                           call.to.value == "s2-a" ? 900ms : 5ms);
    };
    node.start("/all/x");
    node.run.run_until(90ms);
    CHECK(calls_of(node.targets, "s2-b") == 0);
    node.run.run_until(2s);
    CHECK(calls_of(node.targets, "s2-b") == 1);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
    CHECK(node.answered_at[0] < 110ms);
}

TEST_CASE("a hedge is sent soon after room returns")
{
    node_session_fixture node;
    node.targets.scarce = true;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value,
                           call.to.value == "s2-a" ? 900ms : 5ms);
    };
    node.start("/all/x");
    node.run.run_until(50ms);
    CHECK(calls_of(node.targets, "s2-b") == 0);
    node.targets.scarce = false;
    node.run.run_until(50ms + room_recheck_interval);
    CHECK(calls_of(node.targets, "s2-b") == 1);
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].missing_parts == 0);
    CHECK(node.answered_at[0] < 100ms);
}

TEST_CASE("without room a failed call is retried at once")
{
    node_session_fixture node;
    node.targets.scarce = true;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return call.to.value == "s2-a" ? shed() : good_answer(call.to.value);
    };
    node.start("/all/x");
    node.run.run_until(20ms);
    CHECK(calls_of(node.targets, "s2-b") == 1);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].missing_parts == 0);
}

constexpr std::size_t shard_count = 8;

// Two replicas with two slots for each shard serve one query every 2.5 ms.
constexpr microseconds work = 10ms;
constexpr double capacity_per_s = 400.0;
constexpr microseconds objective = 100ms;

// A host whose replicas hold the calls of several hosts, so that calls wait
// there and hedges become due.
class host_of_busy_replicas
{
public:
    explicit host_of_busy_replicas(bool hedging) : targets(run, work)
    {
        for (std::size_t i = 0; i < shard_count; ++i)
        {
            const std::string service = fmt::format("s{}", i);
            this->targets.add(service + "-a", service, 2);
            this->targets.add(service + "-b", service, 2);
        }
        this->targets.hold_calls(4);
        const auto usual = node_session_fixture::make_table(shard_count, 0.75);
        route all = *usual->named("all");
        all.attempts = hedging ? 2 : 1;
        this->queries.set_routes(std::make_shared<const route_table>(
            document_number(1), std::vector<route>{all},
            std::map<service_name, service_rule>{}, caller_limits{}));
        this->budget.set_slack_share(0.5);
    }

    // Sends queries at random times, at a mean rate per second, until `until`.
    void offer(double per_s, microseconds until)
    {
        std::exponential_distribution<double> gap(per_s / 1e6);
        while (this->next < until)
        {
            this->run.run_until(this->next);
            const auto query = sample_query("/all/x", this->started++, 1500ms,
                                            queued_targets::now());
            boost::asio::co_spawn(this->run.executor(), this->answer(query),
                                  boost::asio::detached);
            this->next +=
                microseconds(static_cast<std::int64_t>(gap(this->generator)));
        }
        this->run.run_until(until);
    }

    // Number of queries answered in time.
    std::size_t in_time = 0;
    virtual_runtime run;
    queued_targets targets;

private:
    boost::asio::awaitable<void>
    answer(std::shared_ptr<const caller_query> query)
    {
        const auto caller = std::make_shared<caller_presence>(0us, 0us);
        const caller_reply reply = co_await this->queries.answer(query, caller);
        const microseconds took = queued_targets::now() - query->arrived;
        this->in_time += reply.status == 200 && took <= objective ? 1 : 0;
    }

    retry_budget budget{{0.2, 10.0, 10'000ms}};
    request_log log;
    node_metrics metrics;
    crash_detector crashes{[](const suspected_crash&) {
    }};
    delegate_pool delegates{peer_address("a:1"),
                            [](const peer_address&, const link_message&)
                            {
                                return std::nullopt;
                            }};
    request_services<virtual_runtime, queued_targets> shared{
        run, targets, budget, log, metrics, crashes, delegates};
    query_service<virtual_runtime, queued_targets> queries{shared};
    std::size_t started = 0;
    microseconds next{0};
    std::mt19937_64 generator{1};
};

// Returns the number of queries answered in time during five seconds of this
// multiple of the capacity, and the calls that replicas ran for them.
std::pair<std::size_t, std::size_t> served_at(double times_capacity,
                                              bool hedging)
{
    host_of_busy_replicas host(hedging);
    host.offer(capacity_per_s * times_capacity, 5s);
    host.run.run_until(7s);
    return {host.in_time, host.targets.calls_run};
}

TEST_CASE("hedges do not reduce the answers in time when demand exceeds the "
          "capacity")
{
    // Minimum share of what is served without hedges.
    constexpr double min_share = 0.97;
    for (const double level : {1.5, 3.0, 6.0, 9.0})
    {
        const auto [without, calls_without] = served_at(level, false);
        const auto [with, calls_with] = served_at(level, true);
        CAPTURE(level, without, with, calls_without, calls_with);
        CHECK(without > 0);
        CHECK(static_cast<double>(with) >=
              static_cast<double>(without) * min_share);
    }
}

} // namespace
