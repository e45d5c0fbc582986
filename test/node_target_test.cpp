#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <chrono>
#include <optional>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

TEST_CASE("consecutive calls are answered on one connection")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("body")}; });
    node.start("one");
    node.await_results(1);
    node.start("two");
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].reply.body == "body");
    CHECK(node.server.connections == 1);
}

TEST_CASE("an answer to an earlier request does not answer the current one")
{
    pool_fixture node(
        [](const std::string&, std::size_t)
        { return raw_action{answer("stale", "old") + answer("mine", "one")}; });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::answered);
    CHECK(node.results[0].reply.body == "mine");
    // The connection is not reused.
    node.start("two");
    node.run([&node] { return node.server.connections >= 2; });
    CHECK(node.server.connections >= 2);
}

TEST_CASE("bytes after an answer close the connection and are discarded")
{
    pool_fixture node(
        [](const std::string& read, std::size_t connection)
        {
            return connection == 0
                       ? raw_action{answer("mine") + answer("extra")}
                       : raw_action{answer(read.find("two") != std::string::npos
                                               ? "second"
                                               : "other")};
        });
    node.start("one");
    node.await_results(1);
    node.start("two");
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[0].reply.body == "mine");
    CHECK(node.results[1].reply.body == "second");
}

TEST_CASE("an answer that ends early or is reset ends the call as broken")
{
    const bool reset = GENERATE(false, true);
    pool_fixture node(
        [reset](const std::string&, std::size_t)
        {
            return raw_action{"HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                              "Content-Length: 100\r\n\r\nhalf",
                              true, reset};
        });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
}

// Guards against a success that is made of the beginning of an answer.
TEST_CASE("an answer that ends anywhere before its end is no answer")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n";
    // Without a length only the head is known to be whole.
    const std::string whole = GENERATE_COPY(
        as<std::string>{}, head + "Content-Length: 4\r\n\r\nbody",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        head + "Content-Length: 0\r\n\r\n", head + "\r\n");
    const std::size_t end = GENERATE_REF(range(std::size_t(0), whole.size()));
    pool_fixture node(
        [&whole, end](const std::string&, std::size_t) {
            return raw_action{whole.substr(0, end), true};
        });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
}

// Guards against an empty or short success that its caller takes as whole.
TEST_CASE("a success without the signature of a replica is no answer")
{
    const std::string sent =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nX-Response-Signature:\r\n\r\nshort",
                 "HTTP/1.1 204 No Content\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    const bool closes = GENERATE(false, true);
    pool_fixture node(
        [&sent, closes](const std::string&, std::size_t) {
            return raw_action{sent, closes};
        });
    node.start("one", false, 300ms);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
}

TEST_CASE("an answer without a length is complete when its connection is "
          "closed cleanly, and not when it is reset")
{
    const bool reset = GENERATE(false, true);
    pool_fixture node(
        [reset](const std::string&, std::size_t)
        {
            return raw_action{
                "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n\r\nwhole", true,
                reset};
        });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    if (reset)
    {
        CHECK(node.results[0].end == call_end::broken);
    }
    else
    {
        CHECK(node.results[0].end == call_end::answered);
        CHECK(node.results[0].reply.body == "whole");
    }
}

TEST_CASE("bytes that are not an HTTP response end the call as broken")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{"nonsense\r\n\r\n"}; });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
}

// Guards against a status such as 000 that reaches the caller, or that keeps a
// call waiting like an interim response.
TEST_CASE("a response whose status is of no class of HTTP ends the call as "
          "broken")
{
    const std::string status =
        GENERATE(as<std::string>{}, "000", "042", "099", "600", "999");
    const std::string fields = GENERATE(
        as<std::string>{}, "", "Content-Length: 4\r\n", "Connection: close\r\n",
        "X-Not-Executed: 1\r\nContent-Length: 4\r\n");
    pool_fixture node(
        [&](const std::string&, std::size_t)
        {
            return raw_action{"HTTP/1.1 " + status + " Trouble\r\n" +
                                  "X-Response-Signature: sig\r\n" + fields +
                                  "\r\nbody",
                              fields.starts_with("Connection")};
        });
    node.start("one", false, 60s);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
}

TEST_CASE("an endless head or body ends the call as broken")
{
    const std::string begin = GENERATE(
        as<std::string>{},
        "HTTP/1.1 200 OK\r\nX-Response-Signature: sig\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n",
        "HTTP/1.1 200 OK\r\nX-Endless: ");
    pool_fixture node(
        [&begin](const std::string&, std::size_t)
        { return raw_action{begin + std::string(3'000'000, 'x')}; });
    // Only the size limit ends the call.
    node.start("one", false, 1h);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
    node.run([&node] { return node.server.ended >= 1; });
    CHECK(node.server.ended >= 1);
}

// Guards against bytes without end that the parser does not consume: the read
// buffer took all memory of the host.
TEST_CASE(
    "bytes without end that complete no element of an answer end the call "
    "as broken")
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begin = GENERATE_COPY(
        as<std::string>{}, chunked, chunked + "5",
        chunked + "5;name=", chunked + "5;name=\"", chunked + "4\r\nbody\r\n",
        chunked + "0\r\n", chunked + "0\r\nX-Trailer: ", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 ", "");
    const char filler = GENERATE('\0', '0', ' ', 'x');
    pool_fixture node(
        [&begin, filler](const std::string&, std::size_t)
        { return raw_action{begin + std::string(3'000'000, filler)}; });
    // Only the size limit ends the call.
    node.start("one", false, 1h);
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::broken);
    node.run([&node] { return node.server.ended >= 1; });
    CHECK(node.server.ended >= 1);
}

TEST_CASE("abandoning a call closes its connection")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    const auto call = node.start("one");
    node.run([&node] { return !node.server.reads.empty(); });
    node.pool.abandon(call, 0ms);
    node.run([&node] { return node.server.ended > 0; });
    CHECK(node.server.ended == 1);
    CHECK(node.results.empty());
}

TEST_CASE("a waiting call that is abandoned is never sent")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{}; });
    std::vector<std::shared_ptr<target_call>> calls;
    calls.reserve(8);
    for (int i = 0; i < 8; ++i)
    {
        calls.push_back(node.start(fmt::format("call-{}", i)));
    }
    node.run([&node] { return node.server.reads.size() >= 4; });
    std::size_t waiting = 0;
    for (const auto& call : calls)
    {
        waiting += call->on_wire ? 0 : 1;
        node.pool.abandon(call, 0ms);
    }
    CHECK(waiting == 4);
    node.run([&node] { return node.server.ended >= 4; });
    CHECK(node.server.reads.size() == 4);
    // The connections stay within this host's share.
    CHECK(node.server.connections <= 5);
}

TEST_CASE("a call to an unreachable replica ends unsent and marks the replica "
          "as down")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("x")}; });
    replica gone;
    gone.id = leaf_id("i-1");
    gone.service = service_name("s");
    // Port 1 of loopback has no listener.
    gone.address = http_address("127.0.0.1:1");
    node.pool.set_replica(gone);
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].end == call_end::unsent);
    CHECK(node.pool.candidates(service_name("s"))[0].health->down());
}

TEST_CASE("a replica that answers with the id of another one is removed")
{
    pool_fixture node(
        [](const std::string&, std::size_t)
        {
            return raw_action{"HTTP/1.1 421 Misdirected Request\r\n"
                              "X-Instance-Id: i-2\r\nContent-Length: 0\r\n"
                              "\r\n"};
        });
    node.start("one");
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].reply.not_executed);
    CHECK(node.pool.candidates(service_name("s")).empty());
}

TEST_CASE("a delisted replica is kept for a while and then removed")
{
    pool_fixture node([](const std::string&, std::size_t)
                      { return raw_action{answer("x")}; });
    node.pool.drop_replica(leaf_id("i-1"), 50ms);
    REQUIRE(node.pool.candidates(service_name("s")).size() == 1);
    CHECK(node.pool.candidates(service_name("s"))[0].delisted);
    node.run([&node]
             { return node.pool.candidates(service_name("s")).empty(); });
    CHECK(node.pool.candidates(service_name("s")).empty());
}

// Guards against the replica that named its limit and got several times as
// much.
TEST_CASE("a replica gets no more than the limit that it names")
{
    constexpr double limit = 2;
    pool_fixture node(
        [](const std::string&, std::size_t)
        { return raw_action{answer("body", "", "Server-Limit: 2\r\n")}; });
    const instant begin = to_instant(std::chrono::steady_clock::now());
    node.start("one");
    node.await_results(1);
    constexpr std::size_t demand = 60;
    for (std::size_t i = 0; i < demand; ++i)
    {
        node.start(fmt::format("call-{}", i), false, 600ms);
    }
    node.await_results(1 + demand);
    const std::chrono::duration<double> elapsed =
        to_instant(std::chrono::steady_clock::now()) - begin;
    CHECK(static_cast<double>(node.server.reads.size()) <=
          1.5 * limit * elapsed.count() + 5);
}

} // namespace
