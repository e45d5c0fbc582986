/// Checks at the end of a run. They use the answers that callers received and
/// the stand-in's record, never basilpath's own counters.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Runs all checks of answers and targets; empty if all pass.
[[nodiscard]] std::vector<violation> run_checks(const check_input& input);

} // namespace basilpath::load
