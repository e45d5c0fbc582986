/// The life of a serving process: start, wait for a signal, drain, end.
#pragma once

#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <exception>
#include <string_view>

namespace basilpath
{

inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_bad_settings = 2;

/// A server that a program runs.
template <class Server>
concept drainable_server = requires(Server& server) {
    server.start();
    server.drain();
};

/// Waits for SIGTERM or SIGINT, drains the server and stops the event loop.
template <drainable_server Server>
boost::asio::awaitable<void> await_end(boost::asio::io_context& context,
                                       Server& server)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    co_await server.drain();
    context.stop();
}

/// Runs a server until it has drained after a signal. Returns the exit code of
/// the program.
template <drainable_server Server, class Settings>
int run_program(std::string_view name, const Settings& settings)
{
    set_log_program(name);
    std::signal(SIGPIPE, SIG_IGN);
    boost::asio::io_context context(1);
    try
    {
        Server server(context, settings);
        server.start();
        boost::asio::co_spawn(context, await_end(context, server),
                              boost::asio::detached);
        context.run();
    }
    catch (const std::exception& failed)
    {
        log_event(log_level::error, "failed", {{"reason", failed.what()}});
        return exit_failure;
    }
    return exit_success;
}

} // namespace basilpath
