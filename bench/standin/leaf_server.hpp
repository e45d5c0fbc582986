/// The listening socket of one stand-in leaf.
#pragma once

#include "standin/leaf_call.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace basilpath::standin
{

/// HTTP/1.1 through Pistache with one thread, handed over to an io_context.
/// Unlike `basilpath::http_server` it tells of connections and lets faults
/// reach the bytes on the wire.
class leaf_server
{
public:
    /// What the leaf is told, always on the io_context's thread.
    struct handlers
    {
        std::function<void(std::shared_ptr<leaf_connection>)> connected;
        std::function<void(std::shared_ptr<leaf_connection>)> disconnected;
        std::function<void(std::shared_ptr<leaf_call>)> called;
    };

    /// Listens at `ip:port`; port 0 lets the system choose. Throws
    /// `std::runtime_error` when the address cannot be had.
    leaf_server(boost::asio::io_context& context, const std::string& address,
                handlers tell);

    /// Stops listening and closes every connection; nothing is told of that.
    ~leaf_server();
    leaf_server(const leaf_server&) = delete;
    leaf_server& operator=(const leaf_server&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace basilpath::standin
