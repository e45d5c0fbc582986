/// What must hold at the end of a run, judged from the answers that callers
/// got and from the stand-in's record, never from basilpath's own counters.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Runs all checks of answers and targets; empty when all bounds are kept.
[[nodiscard]] std::vector<violation> run_checks(const check_input& input);

} // namespace basilpath::load
