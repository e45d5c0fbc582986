#include "load/run_report.hpp"

#include "load/load_plan.hpp"
#include "load/load_run.hpp"
#include "load/oracle.hpp"
#include "load/target_checks.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace basilpath::load
{

namespace
{

// Returns the arrivals of a run ordered by time.
std::vector<arrival> arrivals_of(const run_record& run)
{
    std::vector<arrival> all;
    std::ranges::transform(run.outcomes, std::back_inserter(all),
                           [](const auto& outcome)
                           { return outcome->scheduled; });
    std::ranges::sort(all, {}, &arrival::number);
    return all;
}

// Returns the run after the warm-up, followed by the windows of the plan.
std::vector<plan_window> windows_of(const load_plan& plan)
{
    std::vector<plan_window> windows{{"run", plan.warm_up, plan.duration}};
    std::ranges::copy(plan.windows, std::back_inserter(windows));
    return windows;
}

// Adds a violation for each window whose worth served is below the bound.
void check_oracle(const load_plan& plan, run_report& report)
{
    for (const window_report& window : report.windows)
    {
        const double worth_served = window.figures.worth_served;
        if (window.oracle &&
            worth_served < plan.bounds.oracle_share * *window.oracle)
        {
            report.violations.push_back(
                {"worth_below_oracle", 1,
                 fmt::format("window {}: worth served {:.4f}, oracle {:.4f}, "
                             "minimum share {:.2f}",
                             window.name, worth_served, *window.oracle,
                             plan.bounds.oracle_share)});
        }
    }
}

} // namespace

run_report make_report(const load_plan& plan, const run_record& run,
                       const document* configuration,
                       const target_record* record)
{
    run_report report;
    report.unsent = run.unsent;
    const bool has_oracle =
        configuration != nullptr && plan.targets.service_ms > 0.0;
    const std::vector<arrival> arrivals = arrivals_of(run);
    for (const plan_window& window : windows_of(plan))
    {
        window_report one;
        one.name = window.name;
        one.figures = summarize(plan, run.outcomes, window.from, window.until);
        if (has_oracle)
        {
            one.oracle = oracle_service(plan, *configuration, arrivals,
                                        window.from, window.until);
        }
        report.windows.push_back(std::move(one));
    }
    if (configuration != nullptr && record != nullptr)
    {
        const check_input input{plan, *configuration, *record, run.outcomes};
        report.violations = run_checks(input);
        report.extra_load = extra_load(input);
    }
    check_oracle(plan, report);
    if (run.unsent > 0)
    {
        report.violations.push_back(
            {"load_not_sent", run.unsent,
             "too many requests in progress in the load tool"});
    }
    return report;
}

std::string to_text(const run_report& report)
{
    std::string text;
    const auto out = std::back_inserter(text);
    for (const window_report& window : report.windows)
    {
        fmt::format_to(out, "window {}\n{}", window.name,
                       to_table(window.figures));
        if (window.oracle)
        {
            fmt::format_to(out, "oracle={:.4f}\n", *window.oracle);
        }
    }
    if (report.extra_load)
    {
        fmt::format_to(out, "extra_load={:.4f}\n", *report.extra_load);
    }
    for (const violation& one : report.violations)
    {
        fmt::format_to(out, "VIOLATION {} count={} first: {}\n", one.check,
                       one.count, one.example);
    }
    return text;
}

nlohmann::json to_json(const run_report& report)
{
    nlohmann::json windows = nlohmann::json::object();
    for (const window_report& window : report.windows)
    {
        windows[window.name] = to_json(window.figures);
        if (window.oracle)
        {
            windows[window.name]["oracle"] = *window.oracle;
        }
    }
    nlohmann::json violations = nlohmann::json::array();
    for (const violation& one : report.violations)
    {
        violations.push_back({{"check", one.check},
                              {"count", one.count},
                              {"first", one.example}});
    }
    nlohmann::json json = {{"windows", std::move(windows)},
                           {"violations", std::move(violations)},
                           {"unsent", report.unsent}};
    if (report.extra_load)
    {
        json["extra_load"] = *report.extra_load;
    }
    return json;
}

} // namespace basilpath::load
