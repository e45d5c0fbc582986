/// Ranges of the Retry-After of refused requests.
#pragma once

#include "version/ids.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

/// Range of a caller's wait, drawn uniformly so that callers refused together
/// do not return together.
struct retry_after_range
{
    milliseconds shortest;
    milliseconds longest;
};

namespace retry_after_bounds
{

/// After a failure: a replica that pauses answers again within this time.
inline constexpr retry_after_range after_failure{milliseconds(40),
                                                 milliseconds(160)};

/// After an overload, which lasts longer than a pause. Callers wait for a third
/// of the time that they have left, 500 ms of 1.5 s.
inline constexpr retry_after_range after_overload{milliseconds(150),
                                                  milliseconds(500)};

/// Least upper end of the wait while there is no configuration, as the host
/// must reach the store or other hosts first.
inline constexpr milliseconds min_configuration_wait{640};

/// Callers wait for this share of the time that they have left at the most.
inline constexpr int caller_wait_divisor = 3;

/// Time that a caller is taken to have left if it does not say.
inline constexpr milliseconds assumed_caller_timeout{1'500};

/// Longest wait for a replica at its limit; another host may have room sooner.
inline constexpr milliseconds max_room_wait{2'000};

} // namespace retry_after_bounds

/// Returns the range for a request that replicas at their limits cannot run
/// before `room_in`. A host without a share of the limits sends the caller to
/// another one, as after a failure.
[[nodiscard]] inline retry_after_range retry_after_room(microseconds room_in)
{
    using namespace retry_after_bounds;
    if (room_in == microseconds::max())
    {
        return after_failure;
    }
    const auto shortest =
        std::clamp(std::chrono::duration_cast<milliseconds>(room_in),
                   after_failure.shortest, max_room_wait);
    return {shortest, shortest + after_failure.longest};
}

/// Returns the range for a request that arrives `elapsed` after this host began
/// to wait for a configuration. An outage that has lasted long is likely to
/// last as long again, so the caller returns as late as it can.
[[nodiscard]] inline retry_after_range
retry_after_configuration(microseconds elapsed, milliseconds caller_timeout)
{
    using namespace retry_after_bounds;
    const milliseconds longest_useful =
        std::max(caller_timeout / caller_wait_divisor, after_failure.shortest);
    const milliseconds longest =
        std::min(std::max(std::chrono::duration_cast<milliseconds>(elapsed),
                          min_configuration_wait),
                 longest_useful);
    return {longest / 2, longest};
}

} // namespace basilpath
