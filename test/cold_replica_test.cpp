/// Cold replicas: what all hosts together send to one in a second.
#include "item_decoder.hpp"
#include "limited_cluster.hpp"
#include "node/process/cold_limit.hpp"
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

constexpr cold_excess bound{1.5, 5};

// What a cold replica bears in one second, by the platform's rule.
double accepted(request_rate rate)
{
    return rate.value * bound.factor + bound.requests;
}

TEST_CASE("what all hosts may send to a cold replica in a second is within its "
          "bound, however many there are")
{
    const std::size_t count = GENERATE(1U, 2U, 13U, 83U, 300U);
    const request_rate rate(GENERATE(0.4, 5.0, 20.0, 200.0));
    const bool equal = GENERATE(true, false);
    const demand_group group(7);
    std::vector<demanding_host> hosts;
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto level =
            equal ? demand_level(5) : static_cast<demand_level>(i % 11);
        hosts.push_back({peer_address(fmt::format("{}:1", i)),
                         failure_domain("a"),
                         {{group, level, 0}},
                         true});
    }
    const auto limit = cold_limit_of(rate, bound);
    REQUIRE(limit);
    double most = 0;
    for (const demanding_host& own : hosts)
    {
        limit_shares shares(own.address);
        shares.set_hosts(hosts, own.demands, 3);
        const limit_share share =
            shares.share_of({leaf_id("i-1"), failure_domain("a"), group,
                             limit->rate, limit->burst});
        most += share.rate.value + share.depth;
    }
    CHECK(most > 0);
    CHECK(most <= accepted(rate));
}

TEST_CASE(
    "a service without a rate, or settings without a bound, limit nothing")
{
    CHECK_FALSE(cold_limit_of(request_rate(0), bound).has_value());
    CHECK_FALSE(cold_limit_of(request_rate(5), cold_excess{}).has_value());
    CHECK(cold_limit_of(request_rate(5), bound).has_value());
}

TEST_CASE("a bound that leaves little beside the rate is kept as well")
{
    const cold_excess tight{GENERATE(1.0, 1.1, 0.5), GENERATE(0.0, 1.0)};
    const request_rate rate(GENERATE(5.0, 20.0));
    const auto limit = cold_limit_of(rate, tight);
    REQUIRE(limit);
    CHECK(limit->rate.value + limit->burst.requests <=
          rate.value * tight.factor + tight.requests);
}

// Guards against a domain that returns whole and cold: each host sends what it
// sent before.
TEST_CASE("a replica that returns cold gets what it bears in any second while "
          "hosts are killed and started and views differ")
{
    const std::size_t count = GENERATE(2U, 13U, 83U, 300U);
    const request_rate rate(GENERATE(0.4, 5.0, 20.0));
    const std::uint64_t seed = GENERATE(1U, 2U, 3U);
    limited_cluster cluster(count, rate, 1s, seed);
    cluster.set_burst(cold_limit_of(rate, bound)->burst);
    cluster.set_known_at_start(true);
    const double each = 2 + 3 * rate.value / static_cast<double>(count);
    for (std::size_t i = 0; i < count; ++i)
    {
        cluster.set_demand(i, each * (1 + static_cast<double>(i % 3)));
    }
    cluster.run_for(4s);
    for (std::size_t i = 0; i < count; i += 3)
    {
        cluster.stop(i);
    }
    cluster.run_for(2s);
    for (std::size_t i = 0; i < count; i += 3)
    {
        cluster.start(i);
    }
    cluster.run_for(6s);
    CHECK(static_cast<double>(cluster.busiest_window(instant{}, 1s)) <=
          accepted(rate));
    // It gets work nevertheless.
    const auto arrived = static_cast<double>(cluster.arrivals_after(instant{}));
    CHECK(arrived >= 1);
    if (rate.value >= 5)
    {
        CHECK(arrived > 0.3 * rate.value * 12);
    }
}

replica cold_replica(const raw_server& at, milliseconds left)
{
    replica one;
    one.id = leaf_id("i-cold");
    one.service = service_name("s");
    one.domain = failure_domain("b");
    one.address = http_address(at.address());
    one.slots = 4;
    one.warmup = left;
    return one;
}

/// A pool whose service bears 20 requests a second while it is cold.
struct cold_fixture : pool_fixture
{
    explicit cold_fixture(const std::string& more = "",
                          request_rate rate = request_rate(20))
        : pool_fixture(
              [more](const std::string&, std::size_t) {
                  return raw_action{
                      answer("x", "", more + "X-Instance-Id: i-cold\r\n")};
              })
    {
        this->pool.set_cold_bound(bound);
        this->pool.set_limit_sharers(
            {{peer_address("a:1"), failure_domain("a"), {}, true}}, {}, 1);
        this->set_rate(rate);
    }

    void set_rate(request_rate rate)
    {
        this->pool.set_routes(std::make_shared<const route_table>(
            document_number(1), std::vector<route>{},
            std::map<service_name, service_rule>{
                {service_name("s"), {"/health", 5, rate, 3'000ms}}},
            caller_limits{}));
    }

    // Sends this many calls at once and returns how many were answered.
    std::size_t send_many(std::size_t count)
    {
        this->results.clear();
        for (std::size_t i = 0; i < count; ++i)
        {
            this->start("call-" + std::to_string(i), false, 300ms, "i-cold");
        }
        this->await_results(count);
        return static_cast<std::size_t>(std::ranges::count(
            this->results, call_end::answered, &target_result::end));
    }
};

TEST_CASE("a replica that its entry calls cold gets its rate, and all calls "
          "once an entry calls it warm")
{
    cold_fixture node;
    node.pool.set_replica(cold_replica(node.server, 5'000ms));
    CHECK(node.pool.cold_replica_count() == 1);
    CHECK(node.send_many(40) <= 17);
    // A call that can wait gets its turn.
    node.results.clear();
    node.start("patient", false, 5s, "i-cold");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::answered);

    node.pool.set_replica(cold_replica(node.server, 0ms));
    CHECK(node.pool.cold_replica_count() == 0);
    CHECK(node.send_many(40) == 40);
}

TEST_CASE("a replica becomes cold again when its entry or an answer says so")
{
    const bool by_entry = GENERATE(true, false);
    cold_fixture node(by_entry ? "" : "X-Cold-Ms: 4000\r\n");
    node.pool.set_replica(cold_replica(node.server, 0ms));
    if (by_entry)
    {
        node.pool.set_replica(cold_replica(node.server, 4'000ms));
    }
    else
    {
        node.send_many(1);
    }
    CHECK(node.pool.cold_replica_count() == 1);
    CHECK(node.send_many(40) <= 17);
}

TEST_CASE("an entry that repeats that a replica is warm does not undo what it "
          "has answered since")
{
    cold_fixture node("X-Cold-Ms: 4000\r\n");
    node.pool.set_replica(cold_replica(node.server, 0ms));
    node.send_many(1);
    node.pool.set_replica(cold_replica(node.server, 0ms));
    CHECK(node.pool.cold_replica_count() == 1);
}

TEST_CASE("a replica that becomes cold for as long as before is limited again")
{
    const bool delisted = GENERATE(false, true);
    cold_fixture node;
    node.pool.set_replica(cold_replica(node.server, 100ms));
    node.run([&node] { return node.pool.cold_replica_count() == 0; });
    if (delisted)
    {
        node.pool.drop_replica(leaf_id("i-cold"), 2'100ms);
    }
    node.pool.set_replica(cold_replica(node.server, 100ms));
    CHECK(node.pool.cold_replica_count() == 1);
}

TEST_CASE("a rate that a new configuration names is in force at once")
{
    cold_fixture node("", request_rate(0));
    node.pool.set_replica(cold_replica(node.server, 5'000ms));
    CHECK(node.pool.cold_replica_count() == 0);
    node.set_rate(request_rate(20));
    CHECK(node.pool.cold_replica_count() == 1);
}

TEST_CASE("a host that does not know the others sends a cold replica nothing")
{
    cold_fixture node;
    node.pool.set_cold_sharers_known(false);
    node.pool.set_replica(cold_replica(node.server, 60'000ms));
    CHECK(node.send_many(10) == 0);
    node.pool.set_cold_sharers_known(true);
    node.results.clear();
    node.start("patient", false, 5s, "i-cold");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::answered);
}

TEST_CASE("a replica is limited until its cold time has passed")
{
    cold_fixture node;
    node.pool.set_replica(cold_replica(node.server, 150ms));
    CHECK(node.pool.cold_replica_count() == 1);
    node.run([&node] { return node.pool.cold_replica_count() == 0; });
    CHECK(node.pool.cold_replica_count() == 0);
    CHECK(node.send_many(40) == 40);
}

TEST_CASE("replicas of a domain whose evacuation ends are cold until they say "
          "otherwise")
{
    cold_fixture node;
    node.pool.set_replica(cold_replica(node.server, 0ms));
    node.pool.set_evacuation(failure_domain("b"), true, at_revision(5));
    CHECK(node.pool.cold_replica_count() == 0);
    node.pool.set_evacuation(failure_domain("b"), false, at_revision(6));
    CHECK(node.pool.cold_replica_count() == 1);
    CHECK(node.send_many(40) <= 17);

    // A full read brings entries that were written before the end.
    node.pool.set_replica(cold_replica(node.server, 500ms), at_revision(4));
    node.pool.set_replica(cold_replica(node.server, 0ms), at_revision(5));
    CHECK(node.pool.cold_replica_count() == 1);
    node.pool.set_replica(cold_replica(node.server, 0ms), at_revision(7));
    CHECK(node.pool.cold_replica_count() == 0);
}

TEST_CASE("a cold replica whose service names no rate gets all calls")
{
    cold_fixture node("", request_rate(0));
    node.pool.set_replica(cold_replica(node.server, 5'000ms));
    CHECK(node.pool.cold_replica_count() == 0);
    CHECK(node.send_many(40) == 40);
}

TEST_CASE("a cold time that cannot be read is as none")
{
    const std::string value = GENERATE(as<std::string>{}, "", "-1", "soon",
                                       "1e9", "99999999999999999999");
    http_response response(boost::beast::http::status::ok, 11);
    response.set("X-Cold-Ms", value);
    CHECK_FALSE(platform::leaf_codec::decode_reply(response).cold_left);
}

TEST_CASE("the cold rate and time of a service are read, odd ones as none")
{
    const auto [value, rate] =
        GENERATE(table<std::string, double>({{"5.5", 5.5},
                                             {"0", 0},
                                             {"-3", 0},
                                             {R"("much")", 0},
                                             {"[[]]", 0},
                                             {"1e300", 0}}));
    const auto item = platform::decode_item(
        {"op/config",
         R"({"version": 1, "routes": [], "backends": [{"name": "s",)"
         R"("coldStartS": 3.0, "coldPerS": )" +
             value + "}]}",
         7});
    using table_pointer = std::shared_ptr<const route_table>;
    REQUIRE(std::holds_alternative<table_pointer>(item));
    const service_rule* const rule =
        std::get<table_pointer>(item)->service(service_name("s"));
    REQUIRE(rule);
    CHECK(rule->cold_rate.value == rate);
    CHECK(rule->cold_time == 3'000ms);
}

TEST_CASE("how much slower cold replicas are is learned from their answers")
{
    const auto speed = std::make_shared<cold_speed>();
    replica_health cold(2, 60s, instant{}, speed);
    const replica_health other(2, 60s, instant{}, speed);
    const microseconds before = other.expected(instant{}, 10ms);
    instant time{};
    for (int i = 0; i < 100; ++i)
    {
        time += 10ms;
        static_cast<void>(cold.on_sent(time));
        cold.on_answer(time + 30ms, 30ms, 10ms, {}, true);
    }
    CHECK(other.expected(time, 10ms) > before);
    CHECK(other.expected(time, 10ms) < 35ms);
    // What was learned while it was cold does not make it slow when warm.
    CHECK(cold.expected(time + 61s, 10ms) < 15ms);
}

} // namespace
