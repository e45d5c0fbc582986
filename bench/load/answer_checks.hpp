/// Checks of the answers that callers received.
#pragma once

#include "load/check_input.hpp"

namespace basilpath::load
{

/// Finds answers with items of a version other than the one they report.
[[nodiscard]] std::vector<violation> check_mixed(const check_input& input);

/// Finds answers with the name of another request or items of another query.
[[nodiscard]] std::vector<violation> check_crossed(const check_input& input);

/// Finds answers whose coverage or missing shards do not match their items.
[[nodiscard]] std::vector<violation> check_coverage(const check_input& input);

/// Finds "not run" answers for a key that had already run.
[[nodiscard]] std::vector<violation> check_not_run(const check_input& input);

/// Finds overload refusals of a service's mix of highest worth in windows in
/// which a mix of lower worth was served.
[[nodiscard]] std::vector<violation> check_worthiest(const check_input& input);

} // namespace basilpath::load
