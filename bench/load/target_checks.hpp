/// Checks of what the stand-in's leaves have seen.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Keys that ran more than once.
[[nodiscard]] std::vector<violation> check_doubled(const check_input& input);

/// Leaves with more connections than their limit.
[[nodiscard]] std::vector<violation>
check_connections(const check_input& input);

/// Leaves that got work too long after they were published as leaving.
[[nodiscard]] std::vector<violation> check_leaving(const check_input& input);

/// Leaves lost to requests that crash them.
[[nodiscard]] std::vector<violation> check_crashes(const check_input& input);

/// Requests to leaves beyond those needed.
[[nodiscard]] std::vector<violation> check_extra_load(const check_input& input);

/// Requests sent to leaves over requests needed, less one; 0 when none was
/// needed.
[[nodiscard]] double extra_load(const check_input& input);

} // namespace basilpath::load
