/// The burn report as text and as JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace basilpath
{

struct burn_report;

/// Aligned tables of the hosts, the classes and the result codes.
[[nodiscard]] std::string burn_to_text(const burn_report& report);

/// The same figures for scripts.
[[nodiscard]] nlohmann::json burn_to_json(const burn_report& report);

} // namespace basilpath
