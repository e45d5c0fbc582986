#include "connection/http_client.hpp"
#include "connection/http_exchange.hpp"
#include "connection/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <vector>

namespace
{

using namespace basilpath;

/// A server and a client on one event loop; runs requests one after another.
struct http_pair
{
    boost::asio::io_context context;
    http_client client{context};
    http_server server{
        context,
        {"127.0.0.1:0", 4096},
        [](const std::shared_ptr<http_exchange>& exchange)
        {
            exchange->reply({200, exchange->body, "text/plain", {}});
        }};
    std::vector<http_reply> replies;

    void send(const std::vector<std::string>& bodies)
    {
        this->context.restart();
        boost::asio::co_spawn(
            this->context,
            [](http_pair* self,
               std::vector<std::string> texts) -> boost::asio::awaitable<void>
            {
                for (const std::string& text : texts)
                {
                    http_request request;
                    request.url = fmt::format("http://127.0.0.1:{}/echo",
                                              self->server.port());
                    request.body = text;
                    http_reply reply =
                        co_await self->client.send(std::move(request));
                    self->replies.push_back(std::move(reply));
                }
                self->context.stop();
            }(this, bodies),
            boost::asio::detached);
        const auto guard = boost::asio::make_work_guard(this->context);
        this->context.run();
    }
};

TEST_CASE("a connection is kept between requests")
{
    http_pair pair;
    pair.send({"one", "two", "three"});
    REQUIRE(pair.replies.size() == 3);
    CHECK(pair.replies[0].new_connection);
    CHECK_FALSE(pair.replies[1].new_connection);
    CHECK_FALSE(pair.replies[2].new_connection);
    CHECK(pair.replies[2].body == "three");
}

TEST_CASE("a server that is closing asks callers to connect elsewhere")
{
    http_pair pair;
    pair.send({"one"});
    pair.server.close_connections();
    pair.send({"two", "three"});
    REQUIRE(pair.replies.size() == 3);
    CHECK(pair.replies[2].new_connection);
    CHECK(pair.replies[2].status == 200);
}

TEST_CASE("a body over the limit is refused and nothing is run")
{
    http_pair pair;
    pair.send({std::string(8192, 'x'), "small"});
    REQUIRE(pair.replies.size() == 2);
    CHECK(pair.replies[0].status == 413);
    CHECK(pair.replies[1].body == "small");
}

// Rounds and callers that made a use of the dead server all but certain when
// its threads outlived what they used.
constexpr int destruction_rounds = 50;
constexpr int leaving_callers = 20;

TEST_CASE("callers may leave while the server is destroyed")
{
    for (int round = 0; round < destruction_rounds; ++round)
    {
        boost::asio::io_context context;
        const auto work = boost::asio::make_work_guard(context);
        std::vector<std::shared_ptr<http_exchange>> held;
        std::vector<boost::asio::ip::tcp::socket> callers;
        {
            http_server server(context, {"127.0.0.1:0"},
                               [&held](std::shared_ptr<http_exchange> exchange)
                               { held.push_back(std::move(exchange)); });
            for (int i = 0; i < leaving_callers; ++i)
            {
                auto& caller = callers.emplace_back(context);
                caller.connect({boost::asio::ip::make_address("127.0.0.1"),
                                server.port()});
                boost::asio::write(
                    caller, boost::asio::buffer(std::string(
                                "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")));
            }
            while (held.size() < leaving_callers)
            {
                context.run_for(std::chrono::milliseconds(1));
            }
            callers.clear();
        }
        context.run_for(std::chrono::milliseconds(1));
        held.clear();
        context.run_for(std::chrono::milliseconds(1));
    }
    SUCCEED("nothing used the server after its end");
}

} // namespace
