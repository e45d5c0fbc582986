/// Connections of callers at a host that stops.
#include "http_server_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <string>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

constexpr const char* close_header = "Connection: close";

// Guards against a host that left with requests in its read buffer: they had
// been read and got no answer.
TEST_CASE("a draining server answers the requests read behind another one")
{
    server_fixture node;
    node.delay = GENERATE(milliseconds(0), milliseconds(20));
    node.on_request = [&node]
    {
        node.server.start_draining();
    };
    node.send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /third HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string received = node.receive([&node] { return node.closed; });
    CHECK(node.handled_requests == 3);
    const std::size_t last = received.find("/third");
    REQUIRE(last != std::string::npos);
    // Only the last answer announces the close.
    CHECK(received.find(close_header) > received.find("/second"));
    CHECK(received.find(close_header) < last);
}

// Guards against a close with unread bytes, which resets the connection: the
// caller lost the part of the answer that had not been delivered.
TEST_CASE("bytes that arrive behind a request do not cut the answer of a "
          "draining server")
{
    server_fixture node;
    node.padding = std::string(2'000'000, 'x');
    node.on_request = [&node]
    {
        node.server.start_draining();
    };
    node.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return !node.received.empty(); });
    node.send("GET /ne");
    // The caller leaves the end of the answer to the buffers of the kernel.
    const std::string expected = "/large" + node.padding;
    for (int i = 0; i < 500; ++i)
    {
        node.context.run_for(1ms);
        if (i % 10 == 0)
        {
            node.read();
        }
    }
    const std::string received = node.receive(
        [&node, &expected]
        { return node.closed || node.received.ends_with(expected); });
    CHECK(received.ends_with(expected));
}

// Guards against callers that do not read: each held its answer for ever.
TEST_CASE("an answer that its caller does not read is given up, one that is "
          "read slowly is not")
{
    const bool reads = GENERATE(false, true);
    server_fixture node;
    caller_limits limits;
    limits.idle_timeout = milliseconds(1'000);
    node.server.set_limits(limits);
    node.padding = std::string(8'000'000, 'x');
    node.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return node.handled_requests == 1; });
    // The times of the checks are given: each is after the last one.
    const instant begin = to_instant(std::chrono::steady_clock::now());
    node.context.run_for(20ms);
    node.server.close_expired(begin);
    CHECK(node.server.connection_count() == 1);
    if (reads)
    {
        node.receive([&node] { return node.received.size() > 4'000'000; });
        node.server.close_expired(to_instant(std::chrono::steady_clock::now()) +
                                  500ms);
        node.receive([&node] { return node.received.size() > 8'000'000; });
        CHECK(node.received.size() > 8'000'000);
        return;
    }
    node.server.close_expired(to_instant(std::chrono::steady_clock::now()) +
                              2s);
    node.context.run_for(20ms);
    CHECK(node.server.busy_count() == 0);
}

} // namespace
