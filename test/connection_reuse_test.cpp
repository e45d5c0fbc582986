/// When a connection to a replica may carry another call.
#include "stepwise_server.hpp"
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

// Fits into the send buffer of loopback, not into the receive buffer.
constexpr std::size_t body_of_one_buffer = 300'000;

// More than the socket buffers of loopback hold.
constexpr std::size_t body_of_all_buffers = 24'000'000;

std::shared_ptr<caller_query> post(const std::string& id, std::size_t bytes)
{
    auto query = pool_fixture::query(id);
    query->method = "POST";
    query->body = std::string(bytes, 'b');
    return query;
}

const std::string early_rejection =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";

// Guards against a call that waits behind a body that its replica has rejected
// and does not read: the kernel had taken the request, so the connection looked
// idle.
TEST_CASE("a call does not follow a request that was answered early and sent "
          "whole")
{
    stepwise_server replica;
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    node.add_replica("i-2", replica.address());
    node.start(post("one", body_of_one_buffer), false, 10s, "i-2");
    // The kernel takes the request while nobody reads it.
    for (int i = 0; i < 50; ++i)
    {
        node.context.run_for(2ms);
    }
    auto first = replica.accept();
    stepwise_server::read_head(first);
    stepwise_server::send(first, early_rejection);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].reply.status == 503);

    const auto two = node.start("two", false, 10s, "i-2");
    std::optional<stepwise_server::connection> second;
    node.run(
        [&]
        {
            second = replica.try_accept();
            return second || two->on_wire;
        });
    REQUIRE(second);
}

// Guards against a call on a connection that is closed as soon as the result of
// the call before has been reported.
TEST_CASE("a call that is made when a result is reported gets a connection "
          "that stays open")
{
    const std::string begin =
        "HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\n";
    const std::string first = GENERATE_COPY(
        as<std::string>{},
        begin + "Connection: close\r\nContent-Length: 3\r\n\r\none",
        begin + "Content-Length: 3\r\n\r\none" + answer("extra"));
    pool_fixture node(
        [first](const std::string&, std::size_t connection)
        { return raw_action{connection == 0 ? first : answer("second")}; });
    const auto call = node.start("one");
    call->done = [&node, done = call->done](target_result result)
    {
        done(std::move(result));
        node.start("two");
    };
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].end == call_end::answered);
    CHECK(node.results[1].reply.body == "second");
}

// Guards against an answer that arrived before the call was sent and is taken
// as its answer.
TEST_CASE("bytes that arrive on an idle connection do not answer the next call")
{
    stepwise_server replica;
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    node.add_replica("i-2", replica.address());
    const auto one = node.start("one", false, 2s, "i-2");
    node.run([&one] { return one->on_wire; });
    auto first = replica.accept();
    stepwise_server::read_head(first);
    stepwise_server::send(first, answer("first"));
    node.await_results(1);

    stepwise_server::send(first, early_rejection);
    node.start("two", false, 2s, "i-2");
    std::optional<stepwise_server::connection> second;
    node.run(
        [&]
        {
            second = replica.try_accept();
            return second || node.results.size() > 1;
        });
    REQUIRE(second);
    stepwise_server::read_head(*second);
    stepwise_server::send(*second, answer("second"));
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].reply.body == "second");
}

// Guards against a request that runs twice: the copy of an earlier rejection,
// which bears no id, was taken for the answer to it.
TEST_CASE("a call that must not be sent twice does not follow an answer "
          "without an id")
{
    pool_fixture node(
        [](const std::string&, std::size_t connection)
        {
            return raw_action{connection == 0 ? early_rejection
                                              : answer("second", "two")};
        });
    node.start("one", true);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].reply.not_executed);

    node.start("two", true);
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].reply.body == "second");
    CHECK(node.server.connections == 2);
}

// Guards against a promise that a request has not run, made on a copy of an
// earlier rejection.
TEST_CASE("a second answer without an id does not prove that a call did not "
          "run")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{early_rejection}; });
    node.start("one");
    node.await_results(1);
    node.start("two");
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.server.connections == 1);
    CHECK_FALSE(node.results[0].reply.unattributed);
    CHECK(node.results[1].reply.unattributed);
    CHECK_FALSE(node.results[1].reply.not_executed);
}

// The memory of a request is in use while it is sent, so these run under an
// address sanitizer as well.
TEST_CASE("a connection that is closed while it sends ends its call once")
{
    const bool by_replica = GENERATE(false, true);
    pool_fixture node(
        [by_replica](const std::string&, std::size_t connection)
        {
            if (connection > 0)
            {
                return raw_action{answer("second")};
            }
            return by_replica ? raw_action{"", false, true}
                              : raw_action{"", false, false, true};
        });
    const auto call = node.start(post("one", body_of_all_buffers));
    node.run([&node] { return !node.server.reads.empty(); });
    if (!by_replica)
    {
        node.pool.abandon(call, 0ms);
        node.run([&call] { return !call->on_wire || call.use_count() == 1; });
        CHECK(call.use_count() == 1);
    }
    node.start("two");
    const std::size_t expected = by_replica ? 2 : 1;
    node.await_results(expected);
    REQUIRE(node.results.size() == expected);
    CHECK(node.results.back().reply.body == "second");
    if (by_replica)
    {
        CHECK(node.results.front().end == call_end::broken);
    }
}

} // namespace
