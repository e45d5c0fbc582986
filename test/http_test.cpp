#include "connection/http_client.hpp"
#include "connection/http_exchange.hpp"
#include "connection/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
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
        {"127.0.0.1:0", 1, 4096},
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

} // namespace
