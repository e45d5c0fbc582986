#include "standin/execution_log.hpp"
#include "standin/fault_request.hpp"
#include "standin/fault_set.hpp"
#include "standin/index_holdings.hpp"
#include "standin/leaf_record.hpp"
#include "standin/leaf_request.hpp"
#include "standin/platform_values.hpp"
#include "standin/service_time_model.hpp"
#include "standin/slot_queue.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::standin;
using namespace std::chrono_literals;

using time_point = std::chrono::steady_clock::time_point;
const time_point start{};

TEST_CASE("a leaf fills its slots, queues up to its limit and sheds the rest")
{
    slot_queue slots(2, 1);
    CHECK(slots.offer(1) == admission::run);
    CHECK(slots.offer(2) == admission::run);
    CHECK(slots.offer(3) == admission::wait);
    CHECK(slots.offer(4) == admission::shed);
    CHECK(slots.finish(1) == job_number{3});
    CHECK(slots.running() == 2);
    CHECK(slots.waiting() == 0);
}

TEST_CASE("a job removed from the queue frees its place but no slot")
{
    slot_queue slots(1, 2);
    slots.offer(1);
    slots.offer(2);
    slots.offer(3);
    CHECK(slots.finish(2) == std::nullopt);
    CHECK(slots.offer(4) == admission::wait);
    CHECK(slots.finish(1) == job_number{3});
    slots.clear();
    CHECK(slots.offer(5) == admission::run);
}

TEST_CASE("a fault expires and is replaced by one of the same kind")
{
    fault_set faults;
    faults.add({fault_kind::slow, 10.0, 1.0, start + 1s});
    faults.add({fault_kind::slow, 5.0, 0.5, start + 2s});
    const auto slow = faults.find(fault_kind::slow, start + 1s);
    REQUIRE(slow);
    CHECK(slow.value_or(fault{}).factor == 5.0);
    CHECK_FALSE(faults.find(fault_kind::slow, start + 2s));
    CHECK_FALSE(faults.find(fault_kind::busy, start));
    CHECK(faults.applies(fault_kind::slow, start, 0.4));
    CHECK_FALSE(faults.applies(fault_kind::slow, start, 0.5));
    faults.clear();
    CHECK_FALSE(faults.find(fault_kind::slow, start));
}

TEST_CASE("a fault request has leaves or a share, and a known kind")
{
    std::string reason;
    const auto parsed = read_fault_request(
        R"({"share": 0.1, "seed": 7, "kind": "slow", "factor": 4,
            "for_ms": 50, "service": "s"})",
        start, &reason);
    REQUIRE(parsed);
    const fault_request slow = parsed.value_or(fault_request{});
    CHECK(slow.share == 0.1);
    CHECK(slow.seed == 7);
    CHECK(slow.service.value == "s");
    CHECK(slow.new_fault.value_or(fault{}).factor == 4.0);
    CHECK(slow.new_fault.value_or(fault{}).end == start + 50ms);
    const auto clear = read_fault_request(
        R"({"leaves": ["a"], "kind": "clear"})", start, &reason);
    REQUIRE(clear);
    CHECK_FALSE(clear.value_or(slow).new_fault);
    CHECK_FALSE(read_fault_request(R"({"kind": "odd"})", start, &reason));
    CHECK(reason == "unknown fault kind: odd");
    CHECK_FALSE(read_fault_request("[", start, &reason));
    CHECK_FALSE(read_fault_request(R"({"kind": "slow", "factor": "x"})", start,
                                   &reason));
}

TEST_CASE("versions are held after a delay and kept for a time when removed")
{
    const held_shard old{service_name("s"), version_number(1), shard_number(0)};
    const held_shard next{service_name("s"), version_number(2),
                          shard_number(0)};
    index_holdings holdings;
    holdings.assign({old}, start, start);
    CHECK(holdings.holds(old, start));
    CHECK_FALSE(holdings.holds(next, start));
    holdings.assign({next}, start + 1s, start + 3s);
    CHECK_FALSE(holdings.holds(next, start));
    CHECK(holdings.holds(next, start + 1s));
    CHECK(holdings.holds(old, start + 2s));
    CHECK_FALSE(holdings.holds(old, start + 3s));
}

TEST_CASE("the record counts connections, their peak and those over the limit")
{
    leaf_record record;
    CHECK(record.connect(2));
    CHECK(record.connect(2));
    CHECK_FALSE(record.connect(2));
    record.disconnect();
    CHECK(record.connections == 2);
    CHECK(record.connections_peak == 3);
    CHECK(record.connections_refused == 1);
    record.reset();
    CHECK(record.connections == 2);
    CHECK(record.connections_peak == 2);
}

TEST_CASE("the record keeps the time of the last request after leaving")
{
    leaf_record record;
    record.receive(start);
    CHECK_FALSE(record.last_after_leaving);
    record.leaving_since = start + 1s;
    record.receive(start + 4s);
    CHECK(record.last_after_leaving == start + 4s);
    record.reset();
    CHECK(record.leaving_since == start + 1s);
    CHECK_FALSE(record.last_after_leaving);
}

TEST_CASE("executions are counted by key when they start")
{
    execution_log log;
    log.receive("k");
    log.receive("k");
    const std::chrono::steady_clock::time_point first{1s};
    CHECK(log.start("k", first) == 1);
    CHECK(log.start("k", first + 1s) == 2);
    CHECK(log.entries().at("k").first_start == first);
    log.finish("k");
    CHECK(log.entries().at("k").received == 2);
    CHECK(log.entries().at("k").finished == 1);
}

TEST_CASE("a stale platform serves old values until it is up again")
{
    platform_values values;
    CHECK(values.set("document", "one") == 1);
    values.set_mode(platform_mode::stale);
    CHECK(values.set("document", "two") == 2);
    const platform_value none;
    CHECK(values.served_value("document").value_or(none).bytes == "one");
    CHECK(values.served_value("document").value_or(none).revision == 1);
    values.set_mode(platform_mode::up);
    CHECK(values.served_value("document").value_or(none).bytes == "two");
    CHECK_FALSE(values.served_value("targets"));
}

TEST_CASE("service times depend on the seed and grow when cold or slowed")
{
    leaf_options options;
    options.sigma = 0.0;
    options.service_time = 4ms;
    options.cold_requests = 2;
    options.cold_factor = 3.0;
    service_time_model times(options, 1);
    CHECK(times.draw(1.0) == 12ms);
    CHECK(times.draw(1.0) == 8ms);
    CHECK(times.draw(1.0) == 4ms);
    CHECK(times.draw(10.0) == 40ms);
    times.restart();
    CHECK(times.draw(1.0) == 12ms);
    options.sigma = 0.4;
    service_time_model first(options, 5);
    service_time_model second(options, 5);
    CHECK(first.draw(1.0) == second.draw(1.0));
}

TEST_CASE("a reply echoes the request, and its items contain their origin")
{
    const auto read = read_leaf_request(
        R"({"request": "r\"1", "attempt": 2, "service": "s", "version": 3,
            "shard": 4, "deadline_ms": 50, "execute": true,
            "query": {"key": 17, "poison": true}})");
    REQUIRE(read);
    const leaf_request request = read.value_or(leaf_request{});
    CHECK(request.key == "17");
    CHECK(request.poison);
    CHECK(request.execute);
    const std::string reply = make_reply(request, leaf_id("l"), 1, 2);
    CHECK(reply.starts_with("{\"request\":\"r\\\"1\",\"attempt\":2,"
                            "\"service\":\"s\",\"version\":3,\"shard\":4,"));
    CHECK(reply.ends_with("\"shard\":4,\"version\":3,\"leaf\":\"l\","
                          "\"run\":2}]}"));
    CHECK(make_reply(request, leaf_id("l"), 1, 2) == reply);
    CHECK_FALSE(read_leaf_request("{}"));
    CHECK_FALSE(read_leaf_request("not JSON"));
    CHECK_FALSE(read_cancel_request(R"({"request": 1, "attempt": 1})"));
}

} // namespace
