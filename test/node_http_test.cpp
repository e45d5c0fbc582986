#include "http_server_fixture.hpp"
#include "process/output_buffer.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

TEST_CASE("two requests in one segment are answered in order")
{
    server_fixture node;
    node.send("GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
              "GET /two HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string received = node.receive_text("/two");
    CHECK(received.find("/one") < received.find("/two"));
    CHECK(node.handled_requests == 2);
}

// Guards against a caller whose bytes complete no element of its request: the
// read buffer grew without bound.
TEST_CASE(
    "bytes without end that complete no element of a request are rejected")
{
    const std::string chunked =
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begin =
        GENERATE_COPY(as<std::string>{}, chunked,
                      chunked + "5;name=", chunked + "4\r\nbody\r\n",
                      chunked + "0\r\nX-Trailer: ");
    server_fixture node;
    node.send(begin);
    const std::string filler(50'000, '0');
    std::size_t sent = 0;
    for (int i = 0; i < 5000 && !node.closed && sent < 20'000'000; ++i)
    {
        boost::system::error_code error;
        sent += node.caller.write_some(asio::buffer(filler), error);
        node.context.run_for(1ms);
        node.read();
    }
    CHECK(node.closed);
    CHECK(node.received.starts_with("HTTP/1.1 4"));
    CHECK(node.handled_requests == 0);
}

TEST_CASE("a chunked body is read completely")
{
    server_fixture node;
    node.send("POST /chunks HTTP/1.1\r\nHost: h\r\n"
              "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
              "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(node.receive_text("/next").find("/next") != std::string::npos);
    CHECK(node.handled_requests == 2);
}

TEST_CASE(
    "a request with both a length and a transfer encoding is rejected, so that "
    "no request is smuggled in its body")
{
    server_fixture node;
    node.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
              "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
              "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string received = node.receive([&node] { return node.closed; });
    CHECK(received.find("400") != std::string::npos);
    CHECK(node.handled_requests == 0);
}

TEST_CASE(
    "malformed and oversized requests are rejected and the connection closed")
{
    server_fixture node;
    const auto [sent, status] = GENERATE(table<std::string, std::string>(
        {{"nonsense\r\n\r\n", " 400 "},
         {"GET / HTTP/1.1\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n",
          " 431 "},
         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n",
          " 413 "},
         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n"
          "GET /rest HTTP/1.1\r\nHost: h\r\n\r\n",
          " 413 "}}));
    node.send(sent);
    const std::string received = node.receive([&node] { return node.closed; });
    CHECK(received.find(status) != std::string::npos);
    CHECK(node.handled_requests == 0);
    CHECK(node.closed);
}

TEST_CASE("a caller that disconnects is detected while its request is answered")
{
    server_fixture node;
    node.delay = 30s;
    node.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return node.handled_requests == 1; });
    node.caller.close();
    for (int i = 0; i < 5000 && !node.caller_disconnected; ++i)
    {
        node.context.run_for(1ms);
    }
    CHECK(node.caller_disconnected);
}

TEST_CASE(
    "a draining server answers the request it has read and announces that "
    "it closes the connection")
{
    server_fixture node;
    node.delay = 20ms;
    node.send("GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return node.handled_requests == 1; });
    node.server.start_draining();
    const std::string received = node.receive([&node] { return node.closed; });
    CHECK(received.find("/last") != std::string::npos);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(node.closed);
}

TEST_CASE("close_idle closes idle connections and leaves those with a request")
{
    server_fixture node;
    node.delay = 50ms;
    node.send("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
    node.receive([&node] { return node.handled_requests == 1; });
    node.server.close_idle();
    CHECK(node.receive_text("/busy").find("/busy") != std::string::npos);
    CHECK_FALSE(node.closed);
    // The caller may read the answer before the server's write completes.
    node.receive([&node] { return node.server.busy_count() == 0; });
    node.server.close_idle();
    node.receive([&node] { return node.closed; });
    CHECK(node.closed);
}

TEST_CASE("close_idle leaves a connection whose answer is being sent; the next "
          "call closes it")
{
    server_fixture node;
    node.send("GET /sent HTTP/1.1\r\nHost: h\r\n\r\n");
    // Runs one handler at a time, to stop between the write and its completion.
    while (node.received.find("/sent") == std::string::npos)
    {
        node.context.run_one();
        node.read();
    }
    REQUIRE(node.server.busy_count() == 1);
    node.server.close_idle();
    node.receive([&node] { return node.server.busy_count() == 0; });
    CHECK_FALSE(node.closed);
    node.server.close_idle();
    node.receive([&node] { return node.closed; });
    CHECK(node.closed);
}

// Guards against the stop that closed a connection between the read of a
// request and its handling: the request was passed on, its caller got no
// answer.
TEST_CASE("close_idle at any moment does not cut a request that is handled")
{
    const int steps = GENERATE(range(0, 24));
    const bool kept = GENERATE(false, true);
    server_fixture node;
    if (kept)
    {
        node.send("GET /before HTTP/1.1\r\nHost: h\r\n\r\n");
        node.receive_text("/before");
        node.receive([&node] { return node.server.busy_count() == 0; });
    }
    const int before = node.handled_requests;
    const auto run_steps = [&node, steps]
    {
        for (int i = 0; i < steps; ++i)
        {
            node.context.poll_one();
        }
    };
    node.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
    run_steps();
    node.server.close_idle();
    const std::string received = node.receive(
        [&node] {
            return node.closed ||
                   node.received.find("/late") != std::string::npos;
        });
    const bool answered = received.find("/late") != std::string::npos;
    CHECK(answered == (node.handled_requests > before));
    // The request had arrived before.
    CHECK(answered);
}

// Guards against the same window when an idle connection expires.
TEST_CASE(
    "the idle timeout at any moment does not cut a request that is handled")
{
    const int steps = GENERATE(range(0, 24));
    server_fixture node;
    caller_limits limits;
    limits.idle_timeout = 1ms;
    node.server.set_limits(limits);
    node.send("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < steps; ++i)
    {
        node.context.poll_one();
    }
    std::this_thread::sleep_for(5ms);
    node.server.close_expired(to_instant(std::chrono::steady_clock::now()));
    const std::string received = node.receive(
        [&node] {
            return node.closed ||
                   node.received.find("/late") != std::string::npos;
        });
    CHECK(received.find("/late") != std::string::npos);
}

TEST_CASE("a connection that was established before the server stops accepting "
          "is served")
{
    server_fixture node;
    node.context.poll();
    asio::ip::tcp::socket late(node.context);
    late.connect(node.server.local_endpoint());
    asio::write(late, asio::buffer(std::string(
                          "GET /queued HTTP/1.1\r\nHost: h\r\n\r\n")));
    node.server.stop_accepting();
    node.server.close_idle();
    std::string received;
    late.non_blocking(true);
    for (int i = 0; i < 2000 && received.find("/queued") == std::string::npos;
         ++i)
    {
        node.context.run_for(1ms);
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        const auto count = late.read_some(asio::buffer(chunk), error);
        received.append(chunk.data(), count);
    }
    CHECK(received.find("/queued") != std::string::npos);
}

TEST_CASE("logging does not block when the reader of the pipe does not read")
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    output_buffer buffer(ends[1]);
    const std::string line(1000, 'x');
    for (int i = 0; i < 2000; ++i)
    {
        buffer.add(line + "\n", false);
    }
    // The pipe and the buffer are full; further lines are dropped and counted.
    CHECK(buffer.dropped() > 0);
    std::string read(1'000'000, '\0');
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    CHECK(::read(ends[0], read.data(), read.size()) > 0);
    buffer.flush();
    buffer.add("after\n", true);
    std::string all;
    for (auto count = ::read(ends[0], read.data(), read.size()); count > 0;
         count = ::read(ends[0], read.data(), read.size()))
    {
        all.append(read.data(), static_cast<std::size_t>(count));
        buffer.flush();
    }
    CHECK(all.find("event=log_lines_dropped") != std::string::npos);
    CHECK(all.find("after\n") != std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace
