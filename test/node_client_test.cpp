/// The client of the store, of other hosts and of health checks.
#include "node/connection/http_client.hpp"
#include "raw_server.hpp"
#include "stepwise_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <cstddef>
#include <exception>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A client of a server that sends the same bytes to each request.
struct client_fixture
{
    explicit client_fixture(const raw_action& action)
        : server(context,
                 [action](const std::string&, std::size_t) { return action; }),
          client(context.get_executor(), http_address(server.address()))
    {
    }

    std::optional<http_response> get(milliseconds timeout)
    {
        std::optional<std::optional<http_response>> result;
        boost::asio::co_spawn(this->context, this->client.get("/x", timeout),
                              [&result](const std::exception_ptr&,
                                        std::optional<http_response> read)
                              { result = std::move(read); });
        for (int i = 0; i < 5000 && !result; ++i)
        {
            this->context.run_for(2ms);
        }
        REQUIRE(result);
        return *result;
    }

    boost::asio::io_context context;
    raw_server server;
    node_http_client client;
};

// Guards against an answer of the store, of another host or of a health check
// that takes all memory of the host.
TEST_CASE("bytes without end that complete no element of a response end the "
          "request")
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begin = GENERATE_COPY(
        as<std::string>{}, chunked,
        chunked + "5;name=", chunked + "4\r\nbody\r\n",
        chunked + "0\r\nX-Trailer: ", "HTTP/1.1 200 OK\r\nX-Endless: ", "");
    client_fixture node({begin + std::string(3'000'000, '0')});
    // Only the size limit ends the request.
    CHECK_FALSE(node.get(1h));
    CHECK_FALSE(node.client.last_error().empty());
}

TEST_CASE("a large response is read whole")
{
    const std::string body(1'500'000, 'b');
    client_fixture node({"HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body});
    const auto response = node.get(10s);
    REQUIRE(response);
    CHECK(response->body() == body);
}

// Guards against a response that arrived before the request was sent and is
// taken as its response.
TEST_CASE("bytes that arrive on an idle connection are no response")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    stepwise_server store;
    boost::asio::io_context context;
    node_http_client client(context.get_executor(),
                            http_address(store.address()));
    std::vector<std::string> bodies;
    const auto get = [&]
    {
        boost::asio::co_spawn(
            context, client.get("/x", 10s),
            [&bodies](const std::exception_ptr&,
                      const std::optional<http_response>& read)
            { bodies.push_back(read ? read->body() : "none"); });
    };
    const auto run_until = [&context](const auto& done)
    {
        for (int i = 0; i < 5000 && !done(); ++i)
        {
            context.restart();
            context.run_for(2ms);
        }
    };
    get();
    std::optional<stepwise_server::connection> first;
    run_until(
        [&]
        {
            first = store.try_accept();
            return first.has_value();
        });
    REQUIRE(first);
    stepwise_server::send(*first, ok + "first");
    run_until([&bodies] { return bodies.size() == 1; });

    stepwise_server::send(*first, ok + "stray");
    get();
    std::optional<stepwise_server::connection> second;
    run_until(
        [&]
        {
            second = store.try_accept();
            return second || bodies.size() > 1;
        });
    REQUIRE(second);
    stepwise_server::send(*second, ok + "other");
    run_until([&bodies] { return bodies.size() == 2; });
    CHECK(bodies == std::vector<std::string>{"first", "other"});
}

// Guards against a response that is taken as whole although its connection
// ended in the middle.
TEST_CASE("a response that ends in its head or body fails the request")
{
    const std::string whole =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    const std::size_t length =
        GENERATE_REF(range(std::size_t(0), std::size_t(42)));
    REQUIRE(length < whole.size());
    client_fixture node({whole.substr(0, length), true});
    CHECK_FALSE(node.get(2s));
}

} // namespace
