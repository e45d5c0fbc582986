/// Listening address and connections of one stand-in leaf.
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

/// Accepts connections up to a limit and can be closed and reopened to simulate
/// a crash. Used only on the thread of the io_context.
class leaf_endpoint : public std::enable_shared_from_this<leaf_endpoint>
{
public:
    using call_handler = std::function<void(const std::shared_ptr<leaf_call>&)>;

    leaf_endpoint(boost::asio::io_context& context, std::string address,
                  call_handler called);

    /// Starts listening; a reopened endpoint keeps its port.
    void open();

    /// Closes all connections and stops listening.
    void close();

    /// Drops all further requests on the connections that are open now.
    void silence_connections();

    /// Sets the maximum number of open connections.
    void set_limit(std::size_t connections);

    [[nodiscard]] bool listening() const;
    [[nodiscard]] std::uint16_t port() const;

    /// Counters of the leaf; the endpoint updates those of connections.
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

    /// Number of the current server; callbacks of earlier servers are
    /// ignored.
    std::uint64_t generation = 0;
    std::set<std::shared_ptr<leaf_connection>> connections;
};

} // namespace basilpath::standin
