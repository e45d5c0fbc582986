#include "process/burn_text.hpp"

#include "process/burn_report.hpp"
#include "process/text_table.hpp"
#include "request/result_code.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpath
{

namespace
{

using nlohmann::json;

std::string percent(double share)
{
    return fmt::format("{:.3f}%", 100.0 * share);
}

// Names a window as it is after scaling.
std::string window_name(std::size_t window, double scale)
{
    const double seconds =
        static_cast<double>(burn_windows[window].count()) * scale;
    return seconds >= 60.0 ? fmt::format("{:.4g} min", seconds / 60.0)
                           : fmt::format("{:.4g} s", seconds);
}

std::string runs_out_text(const burn_verdict& verdict)
{
    if (!verdict.runs_out)
    {
        return "-";
    }
    const auto seconds = verdict.runs_out->count();
    return seconds == 0 ? "spent" : fmt::format("in {} s", seconds);
}

std::string hosts_text(const burn_report& report)
{
    text_table table({"host", "state", "counts since"});
    for (const burn_host& host : report.hosts)
    {
        const auto seconds =
            std::chrono::duration_cast<std::chrono::seconds>(host.uptime);
        const bool lost = !host.lost.empty();
        table.add({host.address, lost ? "lost: " + host.lost : "counted",
                   lost ? "-" : fmt::format("{} s ago", seconds.count())});
    }
    return table.format();
}

// Adds the cells that a class and the total have in common.
void add_verdict(std::vector<std::string>& row, const burn_verdict& verdict)
{
    for (const double rate : verdict.rates)
    {
        row.push_back(fmt::format("{:.2f}", rate));
    }
    row.push_back(percent(verdict.budget_left));
    row.push_back(runs_out_text(verdict));
    row.emplace_back(name_of(verdict.alert));
}

std::string classes_text(const burn_report& report)
{
    std::vector<std::string> heading = {"class",     "service",  "worth",
                                        "objective", "requests", "served"};
    for (std::size_t i = 0; i < burn_windows.size(); ++i)
    {
        heading.push_back("burn " + window_name(i, report.scale));
    }
    for (const char* name : {"budget left", "runs out", "alert"})
    {
        heading.emplace_back(name);
    }
    text_table table(heading);
    const std::size_t longest = burn_windows.size() - 1;
    for (const auto& [name, one] : report.classes)
    {
        const burn_counts& counts = one.windows[longest];
        const double share = counts.total == 0
                                 ? 1.0
                                 : static_cast<double>(counts.served) /
                                       static_cast<double>(counts.total);
        std::vector<std::string> row = {
            name,
            one.service,
            fmt::to_string(one.worth),
            fmt::format("{} in {} ms", percent(one.objective_share),
                        one.objective_ms),
            fmt::to_string(counts.total),
            counts.total == 0 ? "-" : percent(share)};
        add_verdict(row, judge_burn(one, report.scale));
        table.add(std::move(row));
    }
    const auto share = served_share(report, longest);
    std::vector<std::string> row = {
        "all, by worth", "", "", "", "", share ? percent(*share) : "-"};
    add_verdict(row, judge_burn(report));
    table.add(std::move(row));
    return table.format();
}

std::string latency_text(const burn_report& report)
{
    text_table table({"class", "answers", "p50 ms", "p99 ms", "p99.9 ms"});
    const auto to_ms = [](std::chrono::microseconds time)
    {
        return fmt::format("{:.1f}", static_cast<double>(time.count()) / 1e3);
    };
    for (const auto& [name, one] : report.classes)
    {
        table.add({name, fmt::to_string(one.latency.count()),
                   to_ms(one.latency.quantile(0.5)),
                   to_ms(one.latency.quantile(0.99)),
                   to_ms(one.latency.quantile(0.999))});
    }
    return table.format();
}

std::string code_name(std::uint32_t number)
{
    const auto code = to_result_code(number);
    return code ? std::string(info(*code).name) : std::string("unknown");
}

std::string codes_text(const burn_report& report)
{
    text_table table({"class", "code", "name", "requests"});
    for (const auto& [name, one] : report.classes)
    {
        for (const auto& [code, count] : one.codes)
        {
            table.add({name, fmt::to_string(code), code_name(code),
                       fmt::to_string(count)});
        }
    }
    return table.format();
}

json verdict_json(const burn_verdict& verdict)
{
    return {{"burn_rates", verdict.rates},
            {"budget_left", verdict.budget_left},
            {"runs_out_s", verdict.runs_out ? json(verdict.runs_out->count())
                                            : json(nullptr)},
            {"alert", std::string(name_of(verdict.alert))}};
}

json class_json(const burn_class& one, double scale)
{
    json value = to_json(one);
    value["burn"] = verdict_json(judge_burn(one, scale));
    value["latency_us"] = {{"p50", one.latency.quantile(0.5).count()},
                           {"p99", one.latency.quantile(0.99).count()},
                           {"p99.9", one.latency.quantile(0.999).count()}};
    return value;
}

} // namespace

std::string burn_to_text(const burn_report& report)
{
    const std::string hosts =
        fmt::format("{} hosts, {} lost\n\n{}", report.hosts.size(),
                    report.lost_hosts(), hosts_text(report));
    if (report.classes.empty())
    {
        return hosts + "\nno request of any class has been counted\n";
    }
    return fmt::format("{}\n{}\n{}\n{}", hosts, classes_text(report),
                       latency_text(report), codes_text(report));
}

json burn_to_json(const burn_report& report)
{
    json hosts = json::array();
    for (const burn_host& host : report.hosts)
    {
        hosts.push_back({{"address", host.address},
                         {"lost", host.lost},
                         {"uptime_ms", host.uptime.count()}});
    }
    json windows = json::array();
    for (const std::chrono::seconds window : burn_windows)
    {
        windows.push_back(static_cast<double>(window.count()) * report.scale);
    }
    json classes = json::array();
    for (const auto& [name, one] : report.classes)
    {
        classes.push_back(class_json(one, report.scale));
    }
    const auto share = served_share(report, burn_windows.size() - 1);
    json all = verdict_json(judge_burn(report));
    all["served_share"] = share ? json(*share) : json(nullptr);
    return {{"hosts", std::move(hosts)},
            {"lost_hosts", report.lost_hosts()},
            {"window_seconds", std::move(windows)},
            {"classes", std::move(classes)},
            {"all_by_worth", std::move(all)}};
}

} // namespace basilpath
