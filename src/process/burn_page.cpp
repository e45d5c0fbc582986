#include "process/burn_page.hpp"

#include "process/burn_report.hpp"
#include "process/burn_text.hpp"
#include "process/svg_chart.hpp"
#include "request/result_code.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace basilpath
{

namespace
{

constexpr double least_ms = 0.1;
constexpr double most_ms = 10'000.0;

constexpr std::string_view style =
    "body{font:15px/1.5 system-ui,sans-serif;margin:2em auto;max-width:60em;"
    "padding:0 1em;color:#1d2733;background:#fff}"
    "svg{width:100%;height:auto;margin:1em 0}"
    "svg text{font:12px system-ui,sans-serif;fill:#1d2733}"
    "svg text.title{font-size:15px;font-weight:600}"
    ".grid{stroke:#d8dee5}.mark{stroke:#1d2733;stroke-dasharray:4 3}"
    "pre{overflow-x:auto;background:#f4f6f8;padding:1em;font-size:12px}";

// Share of answers below each latency, by class.
std::string latency_chart(const burn_report& report)
{
    std::vector<chart_line> lines;
    for (const auto& [name, one] : report.classes)
    {
        if (one.latency.count() == 0)
        {
            continue;
        }
        chart_line line{name, {}};
        for (int part = 0; part <= 200; ++part)
        {
            const double share = part / 200.0;
            const auto time = one.latency.quantile(share);
            line.points.push_back(
                {static_cast<double>(time.count()) / 1e3, share});
        }
        lines.push_back(std::move(line));
    }
    return line_chart("Answers by latency, since the processes started",
                      "milliseconds", least_ms, most_ms, lines);
}

std::string burn_chart(const burn_report& report)
{
    std::vector<std::string> legend;
    std::ranges::transform(burn_windows, std::back_inserter(legend),
                           [&](std::chrono::seconds window)
                           {
                               return fmt::format(
                                   "last {:.4g} s",
                                   static_cast<double>(window.count()) *
                                       report.scale);
                           });
    std::vector<chart_row> rows;
    const auto add = [&](const std::string& label, const burn_verdict& verdict)
    {
        rows.push_back({label, {verdict.rates.begin(), verdict.rates.end()}});
    };
    for (const auto& [name, one] : report.classes)
    {
        add(name, judge_burn(one, report.scale));
    }
    add("all, by worth", judge_burn(report));
    return bar_chart("Burn rate; at the line the budget lasts exactly", legend,
                     rows, 1.0);
}

// Share of answers with less than complete coverage, by class.
std::string coverage_chart(const burn_report& report)
{
    std::vector<chart_row> rows;
    for (const auto& [name, one] : report.classes)
    {
        double answers = 0.0;
        for (const std::uint64_t count : one.coverage)
        {
            answers += static_cast<double>(count);
        }
        const auto whole = static_cast<double>(one.coverage.back());
        const auto good = static_cast<double>(one.coverage[coverage_steps - 2]);
        const double all = answers > 0.0 ? answers : 1.0;
        rows.push_back({name,
                        {100.0 * whole / all, 100.0 * good / all,
                         100.0 * (answers - whole - good) / all}});
    }
    return bar_chart("Coverage of answers, percent of answers",
                     {"complete", "0.9 and more, not complete", "below 0.9"},
                     rows, 0.0);
}

// Requests that were not answered complete, by result code.
std::string codes_chart(const burn_report& report)
{
    std::map<std::uint32_t, std::uint64_t> counts;
    for (const auto& [name, one] : report.classes)
    {
        for (const auto& [code, count] : one.codes)
        {
            counts[code] += count;
        }
    }
    std::vector<chart_row> rows;
    for (const auto& [number, count] : counts)
    {
        const auto code = to_result_code(number);
        if (code == result_code::complete || code == result_code::repeated)
        {
            continue;
        }
        rows.push_back(
            {fmt::format("{} {}", number, code ? info(*code).name : "unknown"),
             {static_cast<double>(count)}});
    }
    if (rows.empty())
    {
        return "<p>Every request was answered complete.</p>\n";
    }
    return bar_chart("Refused, partial and failed requests by code",
                     {"requests"}, rows, 0.0);
}

} // namespace

std::string burn_to_page(const burn_report& report)
{
    std::string page = fmt::format(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        "<meta name=\"viewport\" content=\"width=device-width\">"
        "<title>Service-level burn</title><style>{}</style></head><body>\n"
        "<h1>Service-level burn</h1>\n<p>{} hosts, {} lost.</p>\n",
        style, report.hosts.size(), report.lost_hosts());
    if (!report.classes.empty())
    {
        page += burn_chart(report) + latency_chart(report) +
                coverage_chart(report) + codes_chart(report);
    }
    return page + "<h2>Figures</h2>\n<pre>" +
           escape_markup(burn_to_text(report)) + "</pre>\n</body></html>\n";
}

} // namespace basilpath
