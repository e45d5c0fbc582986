/// Requests at a host that stops.
#include "node_session_fixture.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// The stop is announced one second after the requests were sent.
constexpr microseconds stop_at = 1s;
constexpr instant refuse_from{3500ms};
constexpr instant answers_due{6300ms};

/// Requests of three kinds with time left beyond the stop.
struct stopping_host : node_session_fixture
{
    explicit stopping_host(scripted_targets::script behave)
        : node_session_fixture(4, 0.75)
    {
        auto table = make_table(4, 0.75);
        std::vector<route> routes;
        for (const char* const path : {"/all/x", "/one/x", "/order/x"})
        {
            route one = *table->find("h", path);
            one.timeout = 20s;
            routes.push_back(one);
        }
        this->queries.set_routes(std::make_shared<const route_table>(
            document_number(2), routes, std::map<service_name, service_rule>{},
            caller_limits{}));
        this->targets.behave = std::move(behave);
    }

    void stop()
    {
        this->run.run_until(stop_at);
        this->shared.shutdown.set(refuse_from, answers_due);
    }
};

// Guards against requests that waited for a slot when their host ended: their
// connections were closed without an answer.
TEST_CASE("a request that waits when its host stops is refused as not run")
{
    const std::string path =
        GENERATE(as<std::string>{}, "/all/x", "/one/x", "/order/x");
    stopping_host host([](const target_call&, std::size_t)
                       { return lost(call_end::unsent, 15s); });
    host.start(path, 20s);
    host.stop();
    host.run.run_until(answers_due - instant{} - 1ms);
    // A query none of whose calls has been sent is refused sooner.
    CHECK(host.replies.empty() == (path != "/all/x"));
    host.run.run_until(answers_due - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == 503);
    CHECK(host.replies[0].retry_after.has_value());
    const std::size_t sent = host.targets.sent;
    host.run.run_until(20s);
    CHECK(host.targets.sent == sent);
}

// Guards against the same end while a replica is silent.
TEST_CASE("a request that a replica may be running when its host stops is "
          "answered, and not as not run")
{
    const std::string path =
        GENERATE(as<std::string>{}, "/all/x", "/one/x", "/order/x");
    const auto end = GENERATE(call_end::answered, call_end::broken);
    stopping_host host([end](const target_call&, std::size_t)
                       { return lost(end, 15s); });
    host.start(path, 20s);
    host.stop();
    host.run.run_until(answers_due - instant{} - 1ms);
    CHECK(host.replies.empty());
    host.run.run_until(answers_due - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == 504);
}

TEST_CASE(
    "an order that was shed and waits again when its host stops is refused "
    "as not run, one that broke is not")
{
    const bool broke = GENERATE(false, true);
    stopping_host host(
        [broke](const target_call&, std::size_t sent)
        {
            return sent > 0 ? lost(call_end::unsent, 15s)
                   : broke  ? lost(call_end::broken)
                            : shed();
        });
    host.start("/order/x", 20s);
    host.stop();
    host.run.run_until(answers_due - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == (broke ? 504 : 503));
}

TEST_CASE("an answer that arrives before the end of a stop is delivered")
{
    const std::string path =
        GENERATE(as<std::string>{}, "/all/x", "/one/x", "/order/x");
    stopping_host host([](const target_call& call, std::size_t)
                       { return good_answer(call.to.value, 6200ms); });
    host.start(path, 20s);
    host.stop();
    host.run.run_until(answers_due - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == 200);
}

TEST_CASE(
    "a query with enough shards is answered with them when its host stops")
{
    stopping_host host(
        [](const target_call& call, std::size_t)
        {
            return call.to.value.starts_with("s0")
                       ? lost(call_end::answered, 15s)
                       : good_answer(call.to.value, 900ms);
        });
    host.start("/all/x", 20s);
    host.stop();
    host.run.run_until(answers_due - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == 200);
    CHECK(host.replies[0].missing_parts == 1);
}

// Guards against requests that arrive late in a stop, are passed on and cut.
TEST_CASE("a request that arrives late in a stop is refused at once as not run")
{
    const std::string path =
        GENERATE(as<std::string>{}, "/all/x", "/one/x", "/order/x");
    stopping_host host([](const target_call& call, std::size_t)
                       { return good_answer(call.to.value); });
    host.stop();
    host.run.run_until(refuse_from - instant{} - 100ms);
    host.start(path, 20s);
    host.run.run_until(refuse_from - instant{});
    REQUIRE(host.replies.size() == 1);
    CHECK(host.replies[0].status == 200);
    const std::size_t sent = host.targets.sent;
    host.start(path, 20s);
    host.run.run_until(refuse_from - instant{} + 1ms);
    REQUIRE(host.replies.size() == 2);
    CHECK(host.replies[1].status == 503);
    CHECK(host.replies[1].retry_after.has_value());
    CHECK(host.targets.sent == sent);
}

} // namespace
