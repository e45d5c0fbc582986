#include "connection/leaf_client.hpp"
#include "connection/leaf_state.hpp"
#include "raw_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <exception>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr auto awaiting = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Answers requests without bodies; a number of them, then it closes every
/// connection on which it has read another one.
class small_server
{
public:
    small_server(boost::asio::io_context& context, std::size_t answers)
        : context(context), answers(answers),
          acceptor(context, {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(context, this->accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}",
                           this->acceptor.local_endpoint().port());
    }

    void stop()
    {
        this->acceptor.close();
    }

    std::size_t requests_read = 0;
    std::size_t peak = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (this->acceptor.is_open())
        {
            auto [failed, socket] =
                co_await this->acceptor.async_accept(awaiting);
            if (!failed)
            {
                auto shared = std::make_shared<tcp::socket>(std::move(socket));
                boost::asio::co_spawn(this->context, this->serve(shared),
                                      boost::asio::detached);
            }
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        this->sockets.push_back(socket);
        this->peak = std::max(this->peak, this->count_open());
        boost::asio::streambuf buffer;
        boost::asio::steady_timer timer(this->context);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        while (true)
        {
            const auto [failed, length] =
                co_await boost::asio::async_read_until(*socket, buffer,
                                                       "\r\n\r\n", awaiting);
            if (failed || ++this->requests_read > this->answers)
            {
                break;
            }
            buffer.consume(length);
            timer.expires_after(5ms);
            co_await timer.async_wait(awaiting);
            co_await boost::asio::async_write(
                *socket, boost::asio::buffer(answer), awaiting);
        }
    }

    // Counts the connections that the client holds open. One that it has closed
    // does not count, even when the server has not come to read its end yet.
    std::size_t count_open()
    {
        std::erase_if(this->sockets,
                      [](const std::weak_ptr<tcp::socket>& one)
                      {
                          const auto socket = one.lock();
                          char next = 0;
                          return !socket ||
                                 ::recv(socket->native_handle(), &next, 1,
                                        MSG_PEEK | MSG_DONTWAIT) == 0;
                      });
        return this->sockets.size();
    }

    boost::asio::io_context& context;
    std::size_t answers;
    tcp::acceptor acceptor;
    std::vector<std::weak_ptr<tcp::socket>> sockets;
};

boost::asio::awaitable<void> send(leaf_client& client, const leaf_state& leaf,
                                  bool fresh, std::vector<http_reply>& replies,
                                  std::size_t wanted, small_server& server)
{
    http_request request;
    request.url = "/v1/leaf";
    request.fresh_connection = fresh;
    request.timeout = 10s;
    http_reply reply = co_await client.send(leaf, std::move(request));
    replies.push_back(std::move(reply));
    if (replies.size() == wanted)
    {
        server.stop();
    }
}

// Sends one request on a connection that is kept, then one that the server
// reads and does not answer. Returns how often the server has read a request.
std::size_t read_after_dead_reply(bool fresh)
{
    boost::asio::io_context context(1);
    small_server server(context, 1);
    leaf_client client(context);
    leaf_state leaf(leaf_id("a"));
    leaf.address = http_address(server.address());
    leaf.connection_limit = 4;
    std::vector<http_reply> replies;
    boost::asio::co_spawn(context,
                          send(client, leaf, false, replies, 9, server),
                          boost::asio::detached);
    while (replies.empty())
    {
        context.run_one();
    }
    boost::asio::co_spawn(context,
                          send(client, leaf, fresh, replies, 2, server),
                          boost::asio::detached);
    while (replies.size() < 2)
    {
        context.run_one();
    }
    CHECK(replies[0].outcome == http_outcome::answered);
    CHECK(replies[1].outcome == http_outcome::dropped);
    return server.requests_read;
}

TEST_CASE("a request to execute is not sent again by the HTTP library")
{
    CHECK(read_after_dead_reply(true) == 2);

    // Without a new connection the library repeats the request by itself; the
    // day it no longer does, this line says so.
    CHECK(read_after_dead_reply(false) > 2);
}

// Guards against a connection that is used again while the rest of a rejected
// request is still to be sent on it.
TEST_CASE(
    "a request that is rejected before it is sent whole is the last on its "
    "connection of the HTTP library")
{
    constexpr std::size_t long_body = 24'000'000;
    boost::asio::io_context context(1);
    std::map<std::size_t, std::string> received;
    raw_server server(
        context,
        [&received](const std::string& read, std::size_t connection)
        {
            const bool first = received[connection].empty();
            received[connection] += read;
            if (connection > 0)
            {
                return raw_action{"HTTP/1.1 200 OK\r\n"
                                  "Content-Length: 2\r\n\r\n{}"};
            }
            return raw_action{first ? "HTTP/1.1 503 Service Unavailable\r\n"
                                      "Content-Length: 0\r\n\r\n"
                                    : "",
                              false, false, true};
        });
    leaf_client client(context);
    leaf_state leaf(leaf_id("a"));
    leaf.address = http_address(server.address());
    leaf.connection_limit = 4;
    std::vector<http_reply> replies;
    const auto post = [&](std::string body)
    {
        http_request request;
        request.url = "/v1/leaf";
        request.body = std::move(body);
        request.timeout = 10s;
        boost::asio::co_spawn(
            context, client.send(leaf, std::move(request)),
            [&replies](const std::exception_ptr&, http_reply reply)
            { replies.push_back(std::move(reply)); });
    };
    post(std::string(long_body, 'b'));
    while (replies.empty())
    {
        context.run_one();
    }
    post("short");
    while (replies.size() < 2)
    {
        context.run_one();
    }
    server.read_on = true;
    while (server.ended == 0)
    {
        context.run_one();
    }
    CHECK(replies[0].status == 503);
    CHECK(replies[1].status == 200);
    const std::string& rest = received[0];
    const std::size_t body = rest.find("\r\n\r\n") + 4;
    CHECK(rest.find_first_not_of('b', body) == std::string::npos);
}

TEST_CASE("a leaf never sees more connections than its limit")
{
    boost::asio::io_context context(1);
    small_server server(context, 1'000);
    leaf_client client(context);
    leaf_state leaf(leaf_id("a"));
    leaf.address = http_address(server.address());
    leaf.connection_limit = 3;
    std::vector<http_reply> replies;
    for (std::size_t i = 0; i < 40; ++i)
    {
        boost::asio::co_spawn(
            context, send(client, leaf, i % 4 == 0, replies, 40, server),
            boost::asio::detached);
    }
    while (replies.size() < 40)
    {
        context.run_one();
    }
    CHECK(std::ranges::all_of(replies, [](const http_reply& one)
                              { return one.status == 200; }));
    CHECK(server.peak <= 3);
    CHECK(server.requests_read == 40);
}

} // namespace
