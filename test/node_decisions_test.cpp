#include "node/process/call_queue.hpp"
#include "node/process/forward_policy.hpp"
#include "node/process/gather_policy.hpp"
#include "node/process/host_selection.hpp"
#include "node/process/placement.hpp"
#include "node/process/replica_health.hpp"
#include "node/process/retry_budget.hpp"
#include "node/request/record_merge.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

constexpr microseconds usual = 10ms;

instant at(microseconds time)
{
    return instant(100s + time);
}

// A replica in a failure domain, with its health.
struct test_replica
{
    replica target;
    replica_health health{2, milliseconds(0), at(0us)};
};

test_replica make_replica(const std::string& id, const std::string& domain)
{
    test_replica one;
    one.target.id = leaf_id(id);
    one.target.domain = failure_domain(domain);
    return one;
}

std::vector<candidate> as_candidates(const std::vector<test_replica>& replicas)
{
    std::vector<candidate> result;
    std::ranges::transform(
        replicas, std::back_inserter(result),
        [](const test_replica& one) {
            return candidate{&one.target, &one.health, false};
        });
    return result;
}

std::string chosen(const std::vector<test_replica>& replicas, instant now,
                   const std::vector<leaf_id>& asked = {})
{
    const failure_domain own("a");
    const auto candidates = as_candidates(replicas);
    const auto choice =
        choose_replica(candidates, {now, usual, &own, asked, 7});
    return choice ? candidates[choice->index].target->id.value : "none";
}

std::shared_ptr<target_call> call_until(const std::string& id,
                                        microseconds useful)
{
    auto call = std::make_shared<target_call>();
    call->to = leaf_id(id);
    call->soft_deadline = at(useful);
    call->deadline = at(1s);
    return call;
}

TEST_CASE("placement takes a replica of its own domain, and one of another "
          "domain when that is busy")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    CHECK(chosen(replicas, at(0us)) == "near");
    for (int i = 0; i < 6; ++i)
    {
        replicas[1].health.on_sent(at(0us));
    }
    CHECK(chosen(replicas, at(1ms)) == "far");
}

TEST_CASE("a silent replica is not chosen until it answers")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    replicas[1].health.on_sent(at(0us));
    CHECK(chosen(replicas, at(5ms)) == "near");
    CHECK(replicas[1].health.silent(at(60ms)));
    CHECK(chosen(replicas, at(60ms)) == "far");
    replicas[1].health.on_answer(at(120ms), 120ms, usual, {}, true);
    CHECK(chosen(replicas, at(500ms)) == "near");
}

TEST_CASE("a replica has a report age only after its first load report")
{
    replica_health health(2, milliseconds(0), at(0us));
    CHECK_FALSE(health.report_age(at(50ms)));
    health.on_probe(at(100ms), true, replica_load{1, 0, 2, 1.0});
    CHECK(health.report_age(at(140ms)) == 40ms);
}

TEST_CASE("a load report affects placement only for a short time")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    replicas[1].health.on_sent(at(0us));
    replicas[1].health.on_answer(at(10ms), 10ms, usual,
                                 replica_load{2, 10, 2, 1.0}, true);
    CHECK(chosen(replicas, at(11ms)) == "far");
    CHECK(chosen(replicas, at(2s)) == "near");
}

TEST_CASE("a replica on a slow machine is not chosen")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    replicas[1].health.on_sent(at(0us));
    replicas[1].health.on_answer(at(10ms), 10ms, usual,
                                 replica_load{0, 0, 2, 2.5}, true);
    CHECK(chosen(replicas, at(11ms)) == "far");
}

TEST_CASE("a replica that fails part of its requests is avoided and tried "
          "again later")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    for (int i = 0; i < 4; ++i)
    {
        replicas[1].health.on_sent(at(i * 1ms));
        replicas[1].health.on_answer(at(i * 1ms), 1ms, usual, {}, false);
    }
    CHECK(chosen(replicas, at(5ms)) == "far");
    CHECK(chosen(replicas, at(10s)) == "near");
}

TEST_CASE(
    "a replica that refuses connections is down until a health check passes")
{
    std::vector<test_replica> replicas{make_replica("only", "a")};
    replicas[0].health.on_connect_failed(at(0us));
    CHECK(replicas[0].health.down());
    CHECK(chosen(replicas, at(1ms)) == "none");
    CHECK(replicas[0].health.next_probe() > at(0us));
    replicas[0].health.on_probe(at(300ms), true, {});
    CHECK(chosen(replicas, at(301ms)) == "only");
}

TEST_CASE("consecutive calls without an answer mark a replica as down")
{
    replica_health health(2, milliseconds(0), at(0us));
    for (int i = 0; i < 3; ++i)
    {
        CHECK_FALSE(health.down());
        health.on_sent(at(0us));
        health.on_broken(at(10ms));
    }
    CHECK(health.down());
}

TEST_CASE("a replica already tried is excluded, and a delisted one is the last "
          "choice")
{
    std::vector<test_replica> replicas{make_replica("far", "b"),
                                       make_replica("near", "a")};
    CHECK(chosen(replicas, at(0us), {leaf_id("near")}) == "far");
    CHECK(chosen(replicas, at(0us), {leaf_id("near"), leaf_id("far")}) ==
          "none");
    auto candidates = as_candidates(replicas);
    candidates[1].delisted = true;
    const failure_domain own("a");
    const auto choice =
        choose_replica(candidates, {at(0us), usual, &own, {}, 7});
    REQUIRE(choice);
    CHECK(choice->index == 0);
    replicas[0].target.leaving = true;
    CHECK(chosen(replicas, at(0us)) == "near");
}

TEST_CASE("the queue serves calls that can be in time before late ones")
{
    call_queue queue;
    queue.push(call_until("late", 5ms));
    queue.push(call_until("later", 90ms));
    queue.push(call_until("soon", 50ms));
    CHECK(queue.pop(at(0us), 10ms)->to.value == "soon");
    CHECK(queue.pop(at(0us), 10ms)->to.value == "later");
    CHECK(queue.pop(at(0us), 10ms)->to.value == "late");
    CHECK(queue.pop(at(0us), 10ms) == nullptr);
}

TEST_CASE("at twice the capacity the calls that the queue serves are in time")
{
    // One slot and 10 ms a call; a call arrives every 5 ms and is useful for 60
    // ms.
    call_queue ordered;
    std::size_t in_time = 0;
    std::size_t arrivals = 0;
    for (microseconds now = 0ms; now < 2s; now += 10ms)
    {
        for (const microseconds offset : {microseconds(0ms), microseconds(5ms)})
        {
            ordered.push(call_until("x", now + offset - 10ms + 60ms));
            ++arrivals;
        }
        const auto call = ordered.pop(at(now), 10ms);
        in_time += call->soft_deadline >= at(now + 10ms) ? 1 : 0;
    }
    // In the order of arrival nearly all calls would be late.
    CHECK(arrivals == 400);
    CHECK(in_time >= 190);
}

TEST_CASE(
    "calls that were abandoned or have expired are removed from the queue")
{
    call_queue queue;
    queue.push(call_until("given up", 50ms));
    queue.push(call_until("good", 50ms));
    const auto first = queue.pop(at(0us), 1ms);
    first->abandoned = true;
    queue.push(first);
    CHECK(queue.take_expired(at(0us)).size() == 1);
    CHECK(queue.take_expired(at(2s)).size() == 1);
    CHECK(queue.empty());
}

TEST_CASE("repeats of all hosts stay within the bound in every window")
{
    constexpr std::size_t hosts = 8;
    constexpr double slack = 56;
    const service_name service("s");
    std::vector<retry_budget> budgets(
        hosts, retry_budget({0.2, slack, milliseconds(10'000)}));
    std::vector<std::pair<microseconds, bool>> arrivals;
    for (auto& one : budgets)
    {
        one.set_slack_share(0.5 / hosts);
    }
    // Every request needs a repeat; the traffic stops for a while in between.
    for (microseconds now = 0ms; now < 60s; now += 5ms)
    {
        retry_budget& one =
            budgets[static_cast<std::size_t>(now / 5ms) % hosts];
        if (now < 20s || now > 35s)
        {
            one.note_request(service, at(now));
            arrivals.emplace_back(now, false);
        }
        if (one.try_spend(service, at(now)))
        {
            arrivals.emplace_back(now, true);
        }
    }
    for (microseconds start = 0ms; start < 50s; start += 100ms)
    {
        const auto count = [&](bool repeat)
        {
            return std::ranges::count_if(arrivals,
                                         [=](const auto& one)
                                         {
                                             return one.second == repeat &&
                                                    one.first >= start &&
                                                    one.first < start + 10s;
                                         });
        };
        const double allowed = 0.2 * static_cast<double>(count(false)) + slack;
        REQUIRE(static_cast<double>(count(true)) <= allowed);
    }
}

TEST_CASE("hedges use most of the budget while nothing fails, and leave room "
          "for retries when calls fail")
{
    const service_name service("s");
    // Returns the hedges and retries granted in ten seconds of 100 requests a
    // second, each of which needs a hedge, and every tenth a retry when calls
    // fail.
    const auto spend = [&service](bool calls_fail)
    {
        retry_budget budget({0.2, 0.0, milliseconds(10'000)});
        std::pair<int, int> granted{0, 0};
        for (int i = 0; i < 2'000; ++i)
        {
            const instant time = at(i * 10ms);
            const bool counted = i >= 1'000;
            budget.note_request(service, time);
            if (calls_fail && i % 10 == 0)
            {
                granted.second += budget.try_spend(service, time) && counted;
            }
            granted.first +=
                budget.try_spend(service, time, repeat_kind::hedge) && counted;
        }
        return granted;
    };
    const auto [calm_hedges, none] = spend(false);
    CHECK(none == 0);
    CHECK(calm_hedges >= 200 * 0.7);
    const auto [hedges, retries] = spend(true);
    CHECK(retries == 100);
    CHECK(hedges > 0);
    CHECK(hedges + retries <= 200);
}

TEST_CASE("a host that restarts within a window keeps the bound")
{
    const service_name service("s");
    std::size_t spent = 0;
    for (int restart = 0; restart < 2; ++restart)
    {
        retry_budget budget({0.2, 20.0, milliseconds(10'000)});
        budget.set_slack_share(0.5);
        while (budget.try_spend(service, at(restart * 1s)))
        {
            ++spent;
        }
    }
    CHECK(spent <= 20);
}

TEST_CASE("the hedge delay follows the latency of slow calls, within shares of "
          "the objective")
{
    route rule;
    rule.objective = 100ms;
    rule.timeout = 1500ms;
    gather_times times{at(0us), 0us, 0us, 1500ms, 20ms};
    CHECK(plan_gather(rule, times).hedge_delay == 20ms);
    times.slow = 1ms;
    CHECK(plan_gather(rule, times).hedge_delay >= 10ms);
    times.slow = 500ms;
    CHECK(plan_gather(rule, times).hedge_delay <= 50ms);
}

TEST_CASE("the cutoff includes the travel times of request and answer")
{
    route rule;
    rule.objective = 100ms;
    rule.timeout = 1500ms;
    gather_times times{at(0us), 9ms, 3ms, 1500ms, 20ms};
    const gather_plan plan = plan_gather(rule, times);
    CHECK(plan.cutoff <= at(100ms - 9ms - 3ms));
    CHECK(plan.cutoff >= at(75ms));
    times.spent = 300ms;
    CHECK(plan_gather(rule, times).cutoff == at(0us));
    CHECK(plan_gather(rule, times).deadline < at(1500ms));
}

TEST_CASE(
    "the minimum number of parts is the coverage of the shards, rounded up")
{
    gather_rule rule;
    rule.shards.resize(20);
    rule.least = coverage(0.89);
    CHECK(parts_needed(rule) == 18);
    rule.least = coverage(0.75);
    CHECK(parts_needed(rule) == 15);
    rule.least = coverage(0.9);
    CHECK(parts_needed(rule) == 18);
    rule.least = coverage(0.0);
    CHECK(parts_needed(rule) == 1);
}

TEST_CASE("records are merged in descending order of unsigned bytes")
{
    const std::string low(record_bytes, '\x01');
    const std::string high(record_bytes, '\xff');
    const std::string middle(record_bytes, '\x70');
    const std::string first = low + high + "rest";
    const std::string second = middle + high;
    CHECK(merge_records({first, second}, 3) == high + high + middle);
    CHECK(merge_records({first, second}, 99) == high + high + middle + low);
    CHECK(merge_records({}, 3).empty());
}

member host(const std::string& name, const std::string& domain,
            double processor = 0.25)
{
    member one;
    one.address = peer_address(name);
    one.callers = http_address(name);
    one.domain = failure_domain(domain);
    one.ready = true;
    one.processor_share = processor;
    return one;
}

std::vector<std::string> selected_hosts(const cluster_state& state,
                                        const std::string& domain)
{
    std::vector<std::string> names;
    for (const auto& one :
         select_hosts(state, {region_name("r"), failure_domain(domain)}))
    {
        names.push_back(one.value);
    }
    return names;
}

TEST_CASE("a caller is directed to strong hosts in the replicas' domains, if "
          "possible in its own domain")
{
    cluster_state state;
    state.hosts = {host("a1", "a"),     host("a2", "a"), host("b1", "b"),
                   host("b2", "b"),     host("c1", "c"), host("c2", "c"),
                   host("a3", "a", 0.1)};
    state.replica_domains = {failure_domain("a"), failure_domain("b")};
    CHECK(selected_hosts(state, "a") == std::vector<std::string>{"a1", "a2"});
    CHECK(selected_hosts(state, "c") ==
          std::vector<std::string>{"a1", "a2", "b1", "b2"});
}

TEST_CASE("leaving and unready hosts are never listed, weak ones only when no "
          "other is left")
{
    cluster_state state;
    state.hosts = {host("a1", "a"), host("a2", "a"), host("a3", "a", 0.1)};
    state.replica_domains = {failure_domain("a")};
    state.hosts[0].state = member_state::leaving;
    state.hosts[1].ready = false;
    CHECK(selected_hosts(state, "a") == std::vector<std::string>{"a3"});
    state.hosts.clear();
    CHECK(selected_hosts(state, "a").empty());
}

TEST_CASE("the connections of a replica limit the number of hosts that serve")
{
    cluster_state state;
    for (int i = 0; i < 60; ++i)
    {
        state.hosts.push_back(host("a" + std::to_string(i), "a"));
        state.hosts.push_back(host("b" + std::to_string(i), "b"));
    }
    state.replica_domains = {failure_domain("a"), failure_domain("b")};
    state.most_hosts = 26;
    const auto first = selected_hosts(state, "a");
    CHECK(first.size() == 13);
    // The loss of one host adds one other and moves no more.
    std::erase_if(state.hosts, [&first](const member& one)
                  { return one.callers.value == first.front(); });
    const auto second = selected_hosts(state, "a");
    CHECK(second.size() == 13);
    CHECK(std::ranges::count_if(
              second, [&first](const std::string& one)
              { return std::ranges::find(first, one) == first.end(); }) == 1);
    CHECK(selected_hosts(state, "c").size() == 26);
}

TEST_CASE("a caller gets at least two hosts when there are two")
{
    cluster_state state;
    state.hosts = {host("a1", "a"), host("b1", "b")};
    state.replica_domains = {failure_domain("a"), failure_domain("b")};
    CHECK(selected_hosts(state, "a").size() == 2);
}

} // namespace
