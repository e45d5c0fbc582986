/// Monotonic time points for modules that take the time as an argument instead
/// of reading a clock.
#pragma once

#include <chrono>

namespace basilpath
{

/// Monotonic time in microseconds, real or virtual.
using instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::microseconds>;

/// Converts a time of a runtime's clock.
template <class TimePoint>
instant to_instant(TimePoint time)
{
    return instant(std::chrono::duration_cast<std::chrono::microseconds>(
        time.time_since_epoch()));
}

/// Converts to a time of a runtime's clock.
template <class Clock>
typename Clock::time_point to_clock(instant time)
{
    return typename Clock::time_point(
        std::chrono::duration_cast<typename Clock::duration>(
            time.time_since_epoch()));
}

} // namespace basilpath
