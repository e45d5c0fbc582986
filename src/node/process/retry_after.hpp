/// When callers that were refused may come back.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

/// A caller is told a time drawn evenly from the range, so that many who were
/// refused together do not return together.
struct retry_after_range
{
    milliseconds least;
    milliseconds most;
};

namespace retry_after_bounds
{

/// Something failed: a replica that pauses is back within it.
inline constexpr retry_after_range after_failure{milliseconds(40),
                                                 milliseconds(160)};

/// More was asked than could be served: crests last longer than pauses. Callers
/// wait for a third of the time that they have left, 500 ms of 1.5 s.
inline constexpr retry_after_range after_overload{milliseconds(150),
                                                  milliseconds(500)};

/// Where there is no configuration, the store or other hosts must be reached
/// first, and callers are asked to wait this many times as long.
inline constexpr int start_factor = 4;

} // namespace retry_after_bounds

} // namespace basilpath
