/// Figures and violations of a run, as text and as JSON.
#pragma once

#include "load/checks.hpp"
#include "load/run_summary.hpp"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace basilpath::load
{

struct run_record;

/// Figures of one window, with the oracle's worth served if it is known.
struct window_report
{
    std::string name;
    run_summary figures;
    std::optional<double> oracle;
};

/// Results of a run.
struct run_report
{
    std::vector<window_report> windows;
    std::vector<violation> violations;
    std::optional<double> extra_load;
    std::size_t unsent = 0;
};

/// Builds the report. The oracle needs `configuration`; the checks need
/// `configuration` and `record`. Each may be null.
[[nodiscard]] run_report make_report(const load_plan& plan,
                                     const run_record& run,
                                     const document* configuration,
                                     const target_record* record);

/// Formats the report as tables and one line per violation.
[[nodiscard]] std::string to_text(const run_report& report);

[[nodiscard]] nlohmann::json to_json(const run_report& report);

} // namespace basilpath::load
