/// A TCP server that acts only when a test tells it to, so that bytes arrive at
/// the client while its event loop does not run.
#pragma once

#include "node/connection/socket_options.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace basilpath::test
{

/// Listens on a free port of the loopback address. Functions block unless they
/// say otherwise.
class stepwise_server
{
public:
    using connection = boost::asio::ip::tcp::socket;

    stepwise_server()
        : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" +
               std::to_string(this->acceptor.local_endpoint().port());
    }

    /// Waits for a connection.
    connection accept()
    {
        return this->acceptor.accept();
    }

    /// Accepts a connection if one has been made. Does not block.
    std::optional<connection> try_accept()
    {
        this->acceptor.non_blocking(true);
        boost::system::error_code error;
        connection made = this->acceptor.accept(error);
        this->acceptor.non_blocking(false);
        return error ? std::nullopt : std::optional(std::move(made));
    }

    /// Reads the head of one request.
    static std::string read_head(connection& from)
    {
        std::string head;
        boost::asio::read_until(from, boost::asio::dynamic_buffer(head),
                                "\r\n\r\n");
        return head;
    }

    /// Returns once the bytes are in the kernel of the client.
    static void send(connection& to, const std::string& bytes)
    {
        boost::asio::write(to, boost::asio::buffer(bytes));
        while (unacknowledged_bytes(to).value_or(0) > 0)
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace basilpath::test
