/// HTTP server of one stand-in leaf.
#pragma once

#include "standin/leaf_call.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace basilpath::standin
{

/// Serves HTTP/1.1 through Pistache with one thread and posts the events to an
/// io_context. Unlike `basilpath::http_server`, it reports connections and lets
/// faults alter the bytes on the wire.
class leaf_server
{
public:
    /// Callbacks, invoked on the thread of the io_context.
    struct handlers
    {
        std::function<void(std::shared_ptr<leaf_connection>)> connected;
        std::function<void(std::shared_ptr<leaf_connection>)> disconnected;
        std::function<void(std::shared_ptr<leaf_call>)> called;
    };

    /// Listens at `ip:port`; port 0 selects a free port. Throws
    /// `std::runtime_error` if the address cannot be bound.
    leaf_server(boost::asio::io_context& context, const std::string& address,
                handlers callbacks);

    /// Stops listening and closes every connection without callbacks.
    ~leaf_server();
    leaf_server(const leaf_server&) = delete;
    leaf_server& operator=(const leaf_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace basilpath::standin
