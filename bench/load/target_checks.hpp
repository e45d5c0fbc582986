/// Checks of what the stand-in's leaves recorded.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Finds keys that ran more than once.
[[nodiscard]] std::vector<violation> check_doubled(const check_input& input);

/// Finds leaves with more connections than their limit.
[[nodiscard]] std::vector<violation>
check_connections(const check_input& input);

/// Finds leaves that received work too long after they were published as
/// leaving.
[[nodiscard]] std::vector<violation> check_leaving(const check_input& input);

/// Checks the number of leaf crashes per crashing request.
[[nodiscard]] std::vector<violation> check_crashes(const check_input& input);

/// Checks the share of requests to leaves beyond those needed.
[[nodiscard]] std::vector<violation> check_extra_load(const check_input& input);

/// Returns requests sent to leaves / requests needed - 1; 0 if none was
/// needed.
[[nodiscard]] double extra_load(const check_input& input);

} // namespace basilpath::load
