/// The entry: serves callers, and is the home of their requests to execute.
#pragma once

#include "process/entry_settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>

namespace basilpath
{

/// One per process. Used on the io_context's thread.
class entry_server
{
public:
    /// Listens for callers and peers; throws `std::runtime_error` when an
    /// address cannot be had.
    entry_server(boost::asio::io_context& context,
                 const entry_settings& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Subscribes to the agent.
    void start();

    /// Serves on for the drain time, asks callers to use other hosts, and
    /// returns when no request is in progress.
    boost::asio::awaitable<void> drain();

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace basilpath
