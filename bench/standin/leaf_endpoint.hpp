/// Where one stand-in leaf listens, and its connections.
#pragma once

#include "standin/leaf_record.hpp"
#include "standin/leaf_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace basilpath::standin
{

/// Listens, bounds the connections, and goes away and comes back when the leaf
/// crashes. All calls are made on the io_context's thread.
class leaf_endpoint : public std::enable_shared_from_this<leaf_endpoint>
{
public:
    using call_handler = std::function<void(const std::shared_ptr<leaf_call>&)>;

    leaf_endpoint(boost::asio::io_context& context, std::string address,
                  call_handler called);

    /// Starts to listen, again at the same port when it did before.
    void open();

    /// Ends all connections and stops listening.
    void close();

    /// Makes every connection that is open now silent for good.
    void silence();

    /// Sets how many connections are accepted.
    void set_limit(std::size_t connections);

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;

    /// The leaf's record, which the endpoint counts connections in.
    leaf_record record;

private:
    void connected(const std::shared_ptr<leaf_connection>& connection);
    void disconnected(const std::shared_ptr<leaf_connection>& connection);
    void received(const std::shared_ptr<leaf_call>& call);

    boost::asio::io_context& context;
    std::string address;
    call_handler called;
    std::size_t limit = 1;
    std::unique_ptr<leaf_server> server;

    /// Which of the servers, one after another, is present; what an earlier
    /// one still tells is out of date.
    std::uint64_t generation = 0;
    std::set<std::shared_ptr<leaf_connection>> connections;
};

} // namespace basilpath::standin
