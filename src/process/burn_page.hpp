/// The burn report as one HTML page that needs nothing else.
#pragma once

#include <string>

namespace basilpath
{

struct burn_report;

/// Makes the page: plots of burn rates, latency by class, coverage and result
/// codes as inline SVG, and the tables of the text report.
[[nodiscard]] std::string burn_to_page(const burn_report& report);

} // namespace basilpath
