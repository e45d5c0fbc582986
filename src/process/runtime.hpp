/// The clock, timers, executor and random numbers that a session runs on.
/// Programs use `real_runtime`; tests run the same sessions in virtual time.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <random>

namespace basilpath
{

/// The environment of a session. All calls are made on the one thread that runs
/// the executor.
template <class Runtime>
concept runtime = requires(Runtime& r) {
    typename Runtime::clock;
    typename Runtime::timer;
    {
        Runtime::clock::now()
    } -> std::same_as<typename Runtime::clock::time_point>;
    {
        r.executor()
    } -> std::convertible_to<boost::asio::any_io_executor>;
    {
        r.random()
    } -> std::same_as<std::uint64_t>;
};

/// The monotonic clock, an io_context and a seeded generator.
class real_runtime
{
public:
    using clock = std::chrono::steady_clock;
    using timer = boost::asio::steady_timer;

    real_runtime(boost::asio::io_context& context, std::uint64_t seed)
        : context(context), generator(seed)
    {
    }

    boost::asio::any_io_executor executor()
    {
        return this->context.get_executor();
    }

    std::uint64_t random()
    {
        return this->generator();
    }

private:
    boost::asio::io_context& context;
    std::mt19937_64 generator;
};

} // namespace basilpath
