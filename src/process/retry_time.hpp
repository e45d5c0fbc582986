/// When a request that was refused for overload should come back.
#pragma once

#include "process/runtime.hpp"
#include "version/ids.hpp"

namespace basilpath
{

/// Share of its budget that a request waits for admission.
inline constexpr double admission_share = 0.15;

/// Earliest return and the time over which returns are spread.
inline constexpr milliseconds retry_least{500};
inline constexpr std::uint64_t retry_spread_ms = 1'000;

/// Draws a time to come back, so that callers refused together do not return
/// together.
template <runtime Runtime>
milliseconds spread_retry(Runtime& clockwork)
{
    return retry_least + milliseconds(clockwork.random() % retry_spread_ms);
}

} // namespace basilpath
