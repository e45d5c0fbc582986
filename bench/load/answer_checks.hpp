/// Checks of the answers that callers got.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Answers with items of more than one version, or of another than reported.
[[nodiscard]] std::vector<violation> check_mixed(const check_input& input);

/// Answers with another request's name or another query's items.
[[nodiscard]] std::vector<violation> check_crossed(const check_input& input);

/// Answers whose coverage or missing shards are not those of their items.
[[nodiscard]] std::vector<violation> check_coverage(const check_input& input);

/// Answers "not run" for a key that had run by then.
[[nodiscard]] std::vector<violation> check_not_run(const check_input& input);

/// Refusals of the worthiest class of a service while another was served.
[[nodiscard]] std::vector<violation> check_worthiest(const check_input& input);

} // namespace basilpath::load
