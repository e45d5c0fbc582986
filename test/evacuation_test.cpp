/// An evacuation of a failure domain, from the item of the store to the calls.
#include "item_decoder.hpp"
#include "node/process/gathering_hosts.hpp"
#include "node/process/store_view.hpp"
#include "node_session_fixture.hpp"
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

// The failure domain of the fixture's replica, which names none.
const failure_domain evacuated{""};

decoded_item decode(const std::string& key, std::optional<std::string> value)
{
    return platform::decode_item({key, std::move(value), 7});
}

TEST_CASE("the key of an evacuation counts, whatever its value holds")
{
    const std::string value =
        GENERATE(as<std::string>{}, "", "{}", "null", "no JSON", "\xff\xfe",
                 R"({"until": "never"})");
    const auto begun = decode("op/evacuate/west-a", value);
    REQUIRE(std::holds_alternative<domain_evacuation>(begun));
    CHECK(std::get<domain_evacuation>(begun).domain.value == "west-a");
    CHECK(std::get<domain_evacuation>(begun).in_force);
    const auto ended = decode("op/evacuate/west-a", std::nullopt);
    REQUIRE(std::holds_alternative<domain_evacuation>(ended));
    CHECK_FALSE(std::get<domain_evacuation>(ended).in_force);
}

TEST_CASE("keys beside those of evacuations evacuate nothing")
{
    CHECK(std::holds_alternative<unusable_item>(decode("op/evacuate/", "{}")));
    CHECK(std::holds_alternative<foreign_item>(decode("op/evacuate", "{}")));
    CHECK(std::holds_alternative<foreign_item>(decode("op/evacuated/a", "{}")));
    // A name that no replica has harms none.
    CHECK(std::holds_alternative<domain_evacuation>(
        decode("op/evacuate/a/b", "{}")));
}

/// The evacuations that a view of the store holds after each change.
struct evacuated_view
{
    store_view view{[this](const item_change& change)
                    {
                        const auto item = platform::decode_item(change);
                        if (const auto* one =
                                std::get_if<domain_evacuation>(&item))
                        {
                            this->domains.set(one->domain, one->in_force,
                                              change.position(), instant{});
                        }
                    }};
    evacuated_domains domains;
};

const std::string key_a = "op/evacuate/a";

TEST_CASE("an older view neither brings an evacuation back nor ends one")
{
    evacuated_view host;
    REQUIRE(host.view.apply({0, 10, {{key_a, "", 9}}}, {}) ==
            update_result::applied);
    CHECK(host.domains.contains(failure_domain("a")));

    // A full read that began before the evacuation.
    CHECK(host.view.apply({0, 8, {}}, {}) == update_result::outdated);
    CHECK(host.domains.contains(failure_domain("a")));

    REQUIRE(host.view.apply({10, 12, {{key_a, std::nullopt, 12}}}, {}) ==
            update_result::applied);
    CHECK(host.domains.count() == 0);
    CHECK(host.domains.position().revision == 12);
    // The other side of a cut still holds it.
    CHECK(host.view.apply({0, 11, {{key_a, "", 9}}}, {}) ==
          update_result::outdated);
    CHECK(host.view.apply({9, 11, {{key_a, "", 9}}}, {}) ==
          update_result::outdated);
    CHECK(host.domains.count() == 0);
}

TEST_CASE("a full read after a loss of history ends and begins evacuations")
{
    evacuated_view host;
    const std::string key_b = "op/evacuate/b";
    REQUIRE(host.view.apply({0, 10, {{key_a, "", 9}}}, {}) ==
            update_result::applied);
    REQUIRE(host.view.apply({0, 20, {{key_b, "", 15}}}, {}) ==
            update_result::applied);
    CHECK_FALSE(host.domains.contains(failure_domain("a")));
    CHECK(host.domains.contains(failure_domain("b")));
}

TEST_CASE("an evacuation that is written again while it holds changes nothing")
{
    evacuated_domains domains;
    const failure_domain one("a");
    CHECK(domains.set(one, true, at_revision(5), instant{1s}) ==
          milliseconds(0));
    CHECK_FALSE(
        domains.set(one, true, at_revision(6), instant{2s}).has_value());
    CHECK(domains.position().revision == 5);
    CHECK(domains.set(one, false, at_revision(7), instant{4s}) ==
          milliseconds(3'000));
    CHECK_FALSE(
        domains.set(one, false, at_revision(8), instant{5s}).has_value());
}

TEST_CASE("calls that wait for an evacuated replica return, and no further one "
          "is sent")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    // Four slots; the fifth call waits.
    for (int i = 0; i < 5; ++i)
    {
        node.start("call-" + std::to_string(i));
    }
    node.run([&node] { return node.server.reads.size() >= 4; });
    REQUIRE(node.server.reads.size() == 4);

    node.pool.set_evacuation(evacuated, true, at_revision(5));
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::unsent);
    CHECK(node.pool.evacuations().moved_calls() == 1);

    // A call that a session places late returns as well.
    node.start("late");
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].end == call_end::unsent);
    node.context.run_for(100ms);
    CHECK(node.server.reads.size() == 4);
    CHECK(node.results.size() == 2);
}

TEST_CASE("a call that runs when its domain is evacuated is answered, and its "
          "connection is closed")
{
    pool_fixture node(
        [](const std::string&, std::size_t) {
            return raw_action{answer("late"), false, false, true};
        });
    node.start("late");
    node.run([&node] { return !node.server.reads.empty(); });
    // The answer may have arrived with the read; then the connection is idle.
    node.pool.set_evacuation(evacuated, true, at_revision(5));
    node.server.read_on = true;
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::answered);
    node.run([&node] { return node.server.ended == 1; });
    CHECK(node.server.ended == 1);
}

TEST_CASE("calls that wait return when their replica moves to an evacuated "
          "domain")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    node.pool.set_evacuation(failure_domain("b"), true, at_revision(5));
    for (int i = 0; i < 5; ++i)
    {
        node.start("call-" + std::to_string(i));
    }
    node.run([&node] { return node.server.reads.size() >= 4; });
    replica one;
    one.id = leaf_id("i-1");
    one.service = service_name("s");
    one.address = http_address(node.server.address());
    one.domain = failure_domain("b");
    one.slots = 4;
    node.pool.set_replica(one);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::unsent);
    node.context.run_for(60ms);
    CHECK(node.server.reads.size() == 4);
}

TEST_CASE("an evacuated replica keeps no idle connection and gets no new one")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("body")}; });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.server.connections == 1);

    node.pool.set_evacuation(evacuated, true, at_revision(5));
    node.run([&node] { return node.server.ended == 1; });
    CHECK(node.server.ended == 1);

    // Neither a registration nor the start of serving opens a connection.
    raw_server other(node.context, [](const std::string&, std::size_t)
                     { return raw_action{answer("other")}; });
    node.add_replica("i-2", other);
    node.pool.set_serving_hosts(1, false);
    node.pool.set_serving_hosts(1, true);
    node.context.run_for(60ms);
    CHECK(other.connections == 0);
    CHECK(node.server.connections == 1);
    for (const candidate& one : node.pool.candidates(service_name("s")))
    {
        CHECK_FALSE(is_eligible(one));
    }

    node.pool.set_evacuation(evacuated, false, at_revision(6));
    node.start("two");
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].end == call_end::answered);
}

TEST_CASE("no health check is sent to an evacuated replica")
{
    pool_fixture node(
        [](const std::string& read, std::size_t)
        {
            return read.starts_with("GET /x")
                       ? raw_action{"", true, false}
                       : raw_action{answer("", "", "X-Instance-Id: i-1\r\n")};
        });
    for (int i = 0; i < 4; ++i)
    {
        node.start("broken-" + std::to_string(i));
    }
    node.await_results(4);
    node.pool.set_evacuation(evacuated, true, at_revision(5));
    const std::size_t before = node.server.reads.size();
    node.context.run_for(800ms);
    CHECK(node.server.reads.size() == before);

    node.pool.set_evacuation(evacuated, false, at_revision(6));
    node.run([&node, before] { return node.server.reads.size() > before; });
    CHECK(node.server.reads.size() > before);
}

TEST_CASE("a replica that moves to an evacuated domain is evacuated")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("body")}; });
    node.pool.set_evacuation(failure_domain("b"), true, at_revision(5));
    replica one;
    one.id = leaf_id("i-1");
    one.service = service_name("s");
    one.address = http_address(node.server.address());
    one.domain = failure_domain("b");
    node.pool.set_replica(one);
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::unsent);
}

TEST_CASE("a domain that is evacuated counts as one without replicas of shards")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("body")}; });
    route query;
    query.name = "all";
    query.gather.shards = {service_name("s")};
    node.pool.set_routes(std::make_shared<const route_table>(
        document_number(2), std::vector<route>{query},
        std::map<service_name, service_rule>{}, caller_limits{}));
    CHECK(node.pool.shard_domains() == std::set{evacuated});
    node.pool.set_evacuation(evacuated, true, at_revision(5));
    CHECK(node.pool.shard_domains().empty());
}

TEST_CASE("a query counts shards in an evacuated domain as missing, and is "
          "refused at once when they are too many")
{
    const bool too_many = GENERATE(false, true);
    node_session_fixture node(4, 0.75);
    for (const std::string shard : {"s0", "s1"})
    {
        if (shard == "s0" || too_many)
        {
            node.targets.evacuate(shard + "-a");
            node.targets.evacuate(shard + "-b");
        }
    }
    node.start("/all/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    if (too_many)
    {
        CHECK(node.replies[0].status == 503);
        CHECK(node.replies[0].body == "replicas_evacuated\n");
        CHECK(node.replies[0].retry_after.has_value());
        CHECK(node.answered_at[0] < 1ms);
        CHECK(node.targets.sent == 0);
    }
    else
    {
        CHECK(node.replies[0].status == 200);
        CHECK(node.replies[0].missing_parts == 1);
    }
}

TEST_CASE("a request whose service has only evacuated replicas is refused at "
          "once, as not run")
{
    const std::string target =
        GENERATE(as<std::string>{}, "/one/x", "/order/x");
    node_session_fixture node;
    node.targets.evacuate("one-a");
    node.targets.evacuate("one-b");
    node.start(target);
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
    CHECK(node.replies[0].body == "replicas_evacuated\n");
    CHECK(node.replies[0].retry_after.has_value());
    CHECK(node.answered_at[0] < 1ms);
    CHECK(node.targets.sent == 0);
}

TEST_CASE("no host of an evacuated domain gathers")
{
    const auto host = [](const std::string& name, const std::string& domain)
    {
        member one;
        one.callers = http_address(name);
        one.links = peer_address(name + "-links");
        one.domain = failure_domain(domain);
        one.ready = true;
        return one;
    };
    const std::vector<member> live{host("a1", "a"), host("b1", "b"),
                                   host("c1", "c")};
    const std::set<http_address> serving{http_address("a1"), http_address("b1"),
                                         http_address("c1")};
    evacuated_domains domains;
    domains.set(failure_domain("b"), true, at_revision(5), instant{});
    const auto chosen =
        choose_gathering_hosts(live, serving, failure_domain("a"), domains);
    REQUIRE(chosen.delegates.size() == 1);
    CHECK(chosen.delegates[0].domain.value == "c");
}

} // namespace
