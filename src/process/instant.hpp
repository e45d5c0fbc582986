/// Points of monotonic time for modules that take the time as an argument, so
/// that they need no clock of their own.
#pragma once

#include <chrono>

namespace basilpath
{

/// Monotonic time in microseconds, real or virtual.
using instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::microseconds>;

/// The time of a runtime's clock as an instant.
template <class TimePoint>
instant to_instant(TimePoint time)
{
    return instant(std::chrono::duration_cast<std::chrono::microseconds>(
        time.time_since_epoch()));
}

/// An instant as the time of a runtime's clock.
template <class Clock>
typename Clock::time_point to_clock(instant time)
{
    return typename Clock::time_point(
        std::chrono::duration_cast<typename Clock::duration>(
            time.time_since_epoch()));
}

} // namespace basilpath
