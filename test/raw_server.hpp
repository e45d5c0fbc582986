/// A TCP server that sends the exact bytes a test prescribes.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::test
{

/// The server's reaction to received bytes.
struct raw_action
{
    std::string send;

    /// Whether to close the connection after sending, normally or by a reset.
    bool close = false;
    bool reset = false;

    /// Whether to read no further until `raw_server::read_on` is set.
    bool hold = false;
};

/// Listens on a free port of the loopback address.
class raw_server
{
public:
    using behaviour = std::function<raw_action(const std::string& read,
                                               std::size_t connection)>;

    raw_server(boost::asio::io_context& context, behaviour behave)
        : context(context),
          acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          behave(std::move(behave))
    {
        boost::asio::co_spawn(context, this->accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    /// Ends the wait of connections that are held.
    bool read_on = false;

    /// The result of every read, in order.
    std::vector<std::string> reads;
    std::size_t connections = 0;
    std::size_t ended = 0;

private:
    boost::asio::awaitable<void> accept()
    {
        while (true)
        {
            boost::asio::ip::tcp::socket socket(this->context);
            const auto [error] = co_await this->acceptor.async_accept(
                socket, boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error)
            {
                co_return;
            }
            const std::size_t number = this->connections++;
            boost::asio::co_spawn(this->context,
                                  this->serve(std::move(socket), number),
                                  boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket,
                                       std::size_t number)
    {
        std::array<char, 65'536> chunk{};
        while (true)
        {
            const auto [error, count] = co_await socket.async_read_some(
                boost::asio::buffer(chunk),
                boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error)
            {
                ++this->ended;
                co_return;
            }
            this->reads.emplace_back(chunk.data(), count);
            const raw_action action = this->behave(this->reads.back(), number);
            co_await boost::asio::async_write(
                socket, boost::asio::buffer(action.send),
                boost::asio::as_tuple(boost::asio::use_awaitable));
            if (action.reset)
            {
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            }
            if (action.close || action.reset)
            {
                socket.close();
                co_return;
            }
            boost::asio::steady_timer timer(this->context);
            while (action.hold && !this->read_on)
            {
                timer.expires_after(std::chrono::milliseconds(1));
                co_await timer.async_wait(
                    boost::asio::as_tuple(boost::asio::use_awaitable));
            }
        }
    }

    boost::asio::io_context& context;
    boost::asio::ip::tcp::acceptor acceptor;
    behaviour behave;
};

} // namespace basilpath::test
