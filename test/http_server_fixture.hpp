/// A node_http_server on loopback and one caller.
#pragma once

#include "node/connection/http_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace basilpath::test
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// A server whose handler answers with the request's target after a delay, and
/// one caller.
struct server_fixture
{
    server_fixture()
        : server(context, "127.0.0.1:0",
                 [this](std::shared_ptr<http_request> request,
                        std::shared_ptr<caller_presence> presence) {
                     return this->answer(std::move(request),
                                         std::move(presence));
                 }),
          caller(context)
    {
        this->server.start();
        this->caller.connect(this->server.local_endpoint());
        this->caller.non_blocking(true);
    }

    asio::awaitable<http_response>
    answer(std::shared_ptr<http_request> request,
           std::shared_ptr<caller_presence> presence)
    {
        ++this->handled_requests;
        this->on_request();
        presence->on_disconnect([this] { this->caller_disconnected = true; });
        asio::steady_timer timer(this->context);
        timer.expires_after(this->delay);
        co_await timer.async_wait(asio::use_awaitable);
        http_response response(boost::beast::http::status::ok, 11);
        response.body() = std::string(request->target()) + this->padding;
        co_return response;
    }

    void send(const std::string& text)
    {
        asio::write(this->caller, asio::buffer(text));
    }

    // Runs until `done` holds, or for 5 s, and returns all the caller has read.
    template <class Condition>
    std::string receive(Condition done)
    {
        for (int i = 0; i < 5000 && !done(); ++i)
        {
            this->context.run_for(1ms);
            this->read();
        }
        return this->received;
    }

    // Reads the bytes that have arrived at the caller.
    void read()
    {
        std::array<char, 4096> chunk{};
        boost::system::error_code error;
        const auto count = this->caller.read_some(asio::buffer(chunk), error);
        this->received.append(chunk.data(), count);
        this->closed = this->closed || error == asio::error::eof ||
                       error == asio::error::connection_reset;
    }

    std::string receive_text(const std::string& text)
    {
        return this->receive(
            [this, &text] {
                return this->closed ||
                       this->received.find(text) != std::string::npos;
            });
    }

    asio::io_context context;
    milliseconds delay{0};

    /// Called when a request is handled, before its answer is made.
    std::function<void()> on_request = [] {
    };

    /// Follows the target in the body of each answer.
    std::string padding;
    int handled_requests = 0;
    bool caller_disconnected = false;
    bool closed = false;
    std::string received;
    node_http_server server;
    asio::ip::tcp::socket caller;
};

} // namespace basilpath::test
