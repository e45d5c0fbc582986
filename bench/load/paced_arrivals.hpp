/// Starts requests at their scheduled times, independent of outstanding
/// answers.
#pragma once

#include "load/arrival.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <vector>

namespace basilpath::load
{

/// The arrivals of one worker and the clock of the run.
class paced_arrivals
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    paced_arrivals(boost::asio::io_context& context,
                   std::vector<arrival> arrivals);

    /// Calls `send` for each arrival at its time after `start`; blocks until
    /// all work on the context has ended.
    void run(time_point start, std::function<void(const arrival&)> send);

    /// Time since the start of the run.
    [[nodiscard]] microseconds elapsed() const;

    /// Returns the time point `at` after the start of the run.
    [[nodiscard]] time_point time_of(microseconds at) const;

private:
    boost::asio::awaitable<void> send_arrivals();

    boost::asio::io_context& context;
    std::vector<arrival> arrivals;
    std::function<void(const arrival&)> send;
    time_point start;
};

} // namespace basilpath::load
