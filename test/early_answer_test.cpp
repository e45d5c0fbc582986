#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

// More than the socket buffers of loopback hold.
constexpr std::size_t long_body = 24'000'000;

std::shared_ptr<caller_query> long_query(const std::string& id)
{
    auto query = pool_fixture::query(id);
    query->method = "POST";
    query->body = std::string(long_body, 'b');
    return query;
}

// A replica that rejects a long request, reads on and gets bytes of another
// request where the rest is due.
TEST_CASE("a request does not share a connection with the rest of another one")
{
    std::map<std::size_t, std::string> received;
    pool_fixture node(
        [&received](const std::string& read, std::size_t connection)
        {
            const bool first = received[connection].empty();
            received[connection] += read;
            if (connection == 0)
            {
                return raw_action{first ? "HTTP/1.1 503 Service Unavailable\r\n"
                                          "X-Not-Executed: 1\r\n"
                                          "Content-Length: 0\r\n\r\n"
                                        : "",
                                  false, false, true};
            }
            return raw_action{answer("second")};
        });
    node.start(long_query("one"));
    node.await_results(1);
    REQUIRE(node.results.size() == 1);
    CHECK(node.results[0].reply.status == 503);
    CHECK(node.results[0].reply.not_executed);

    node.start("two");
    node.await_results(2);
    node.server.read_on = true;
    node.run([&node] { return node.server.ended > 0; });
    CHECK(node.server.ended == 1);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].reply.body == "second");
    const std::string& rest = received[0];
    const std::size_t body = rest.find("\r\n\r\n") + 4;
    CHECK(rest.find_first_not_of('b', body) == std::string::npos);
    CHECK(rest.size() - body < long_body);
}

// The same, for other answers that come before a request is in.
TEST_CASE("no early answer leaves the rest of its request on a connection in "
          "use")
{
    const std::string rejection = "HTTP/1.1 503 Service Unavailable\r\n"
                                  "X-Not-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
    const std::string early =
        GENERATE_COPY(as<std::string>{}, rejection + rejection,
                      "HTTP/1.1 100 Continue\r\n\r\n" + rejection,
                      "HTTP/1.1 413 Payload Too Large\r\n"
                      "Connection: close\r\nContent-Length: 3\r\n\r\nbig",
                      answer("early"), answer("early", "one"));
    std::map<std::size_t, std::string> received;
    pool_fixture node(
        [&received, early](const std::string& read, std::size_t connection)
        {
            const bool first = received[connection].empty();
            received[connection] += read;
            return connection == 0
                       ? raw_action{first ? early : "", false, false, true}
                       : raw_action{answer("second")};
        });
    node.start(long_query("one"));
    node.await_results(1);
    node.start("two");
    node.await_results(2);
    node.server.read_on = true;
    node.run([&node] { return node.server.ended > 0; });
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[0].end == call_end::answered);
    CHECK(node.results[1].reply.body == "second");
    const std::string& rest = received[0];
    const std::size_t body = rest.find("\r\n\r\n") + 4;
    CHECK(rest.find_first_not_of('b', body) == std::string::npos);
    CHECK(rest.size() - body < long_body);
}

TEST_CASE("a long request that was read whole leaves its connection in use")
{
    std::size_t length = 0;
    pool_fixture node(
        [&length](const std::string& read, std::size_t)
        {
            length += read.size();
            return raw_action{length > long_body ? answer("whole") : ""};
        });
    node.start(long_query("one"));
    node.await_results(1);
    node.start("two");
    node.await_results(2);
    REQUIRE(node.results.size() == 2);
    CHECK(node.results[1].end == call_end::answered);
    CHECK(node.server.connections == 1);
}

} // namespace
