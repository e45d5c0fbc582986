/// How long messages of one peer have been on the way, without clocks that
/// agree.
#pragma once

#include "version/ids.hpp"

#include <chrono>

namespace basilpath
{

/// Compares the sender's clock with ours. The smallest difference of the last
/// while stands for no delay; what is above it is delay, caused by the
/// network, by a full queue, or by either process having been paused.
class delay_estimate
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Notes a message that was sent at `sent` on the sender's clock and is
    /// read at `now`, and returns its delay. The delay of a first message is
    /// zero.
    microseconds observe(microseconds sent,
                         time_point now = std::chrono::steady_clock::now());

private:
    microseconds least{0};
    microseconds least_of_window{0};
    time_point window_end;
    bool any = false;
};

} // namespace basilpath
