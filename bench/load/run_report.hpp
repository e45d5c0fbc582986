/// Figures and violations of a whole run, for people and for scripts.
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

/// Figures of one window, with the oracle's when it is known.
struct window_report
{
    std::string name;
    run_summary figures;
    std::optional<double> oracle;
};

/// Everything that a run showed.
struct run_report
{
    std::vector<window_report> windows;
    std::vector<violation> violations;
    std::optional<double> extra_load;
    std::size_t unsent = 0;
};

/// Makes the report. Without a document and a record, only figures are given.
[[nodiscard]] run_report make_report(const load_plan& plan,
                                     const run_record& run,
                                     const document* configuration,
                                     const target_record* record);

/// Tables and one line for each violation.
[[nodiscard]] std::string to_text(const run_report& report);

[[nodiscard]] nlohmann::json to_json(const run_report& report);

} // namespace basilpath::load
