#include "process/burn_report.hpp"

#include "process/host_fetch.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr double fast_rate = 14.4;
constexpr double slow_rate = 6.0;
constexpr std::size_t five_minutes = 0;
constexpr std::size_t thirty_minutes = 1;
constexpr std::size_t one_hour = 2;
constexpr std::size_t six_hours = 3;
constexpr int status_good = 200;

/// Weighted requests of one window: all, not served, and allowed not to be.
struct weighted_counts
{
    double total = 0.0;
    double missed = 0.0;
    double allowed = 0.0;
};

using weighted_windows = std::array<weighted_counts, burn_windows.size()>;

// Adds the windows of a class, each request with this weight.
void add_windows(weighted_windows& sums, const burn_class& one, double weight)
{
    for (std::size_t i = 0; i < sums.size(); ++i)
    {
        const auto total = static_cast<double>(one.windows[i].total);
        const auto served = static_cast<double>(one.windows[i].served);
        sums[i].total += weight * total;
        sums[i].missed += weight * (total - served);
        sums[i].allowed += weight * total * (1.0 - one.objective_share);
    }
}

burn_alert alert_of(const burn_verdict& verdict)
{
    const auto& rates = verdict.rates;
    if (rates[five_minutes] >= fast_rate && rates[one_hour] >= fast_rate)
    {
        return burn_alert::fast;
    }
    if (rates[thirty_minutes] >= slow_rate && rates[six_hours] >= slow_rate)
    {
        return burn_alert::slow;
    }
    return burn_alert::none;
}

burn_verdict judge(const weighted_windows& sums, double scale)
{
    burn_verdict verdict;
    std::ranges::transform(
        sums, verdict.rates.begin(),
        [](const weighted_counts& one)
        { return one.allowed > 0.0 ? one.missed / one.allowed : 0.0; });
    verdict.budget_left = 1.0 - verdict.rates[six_hours];
    if (verdict.budget_left <= 0.0)
    {
        verdict.runs_out = std::chrono::seconds(0);
    }
    else if (verdict.rates[one_hour] > 1.0)
    {
        const double period =
            static_cast<double>(burn_windows[six_hours].count()) * scale;
        verdict.runs_out = std::chrono::seconds(std::llround(
            period * verdict.budget_left / verdict.rates[one_hour]));
    }
    verdict.alert = alert_of(verdict);
    return verdict;
}

// Adds the classes of one host's answer; returns why it cannot be read.
std::string add_host(const json& value, burn_report& report, burn_host& host)
{
    if (!value.is_object() || !value.contains("classes") ||
        !value.contains("scale") || !value.at("scale").is_number() ||
        !value.contains("uptime_ms") || !value.at("uptime_ms").is_number())
    {
        return "its answer is no burn report";
    }
    const double scale = value.at("scale").get<double>();
    if (!report.classes.empty() && scale != report.scale)
    {
        return fmt::format("its windows have scale {}, not {}", scale,
                           report.scale);
    }
    std::vector<burn_class> classes;
    for (const json& entry : value.at("classes"))
    {
        auto one = burn_class_from_json(entry);
        if (!one)
        {
            return "its answer holds a class that cannot be read";
        }
        classes.push_back(std::move(*one));
    }
    report.scale = scale;
    host.uptime =
        std::chrono::milliseconds(value.at("uptime_ms").get<std::int64_t>());
    for (burn_class& one : classes)
    {
        const auto found = report.classes.find(one.name);
        if (found == report.classes.end())
        {
            const std::string name = one.name;
            report.classes.emplace(name, std::move(one));
        }
        else
        {
            found->second.merge(one);
        }
    }
    return "";
}

} // namespace

std::size_t burn_report::lost_hosts() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->hosts, [](const burn_host& one) { return !one.lost.empty(); }));
}

burn_report read_burn_report(const std::vector<host_reply>& replies)
{
    burn_report report;
    for (const host_reply& reply : replies)
    {
        burn_host host{reply.address, {}, reply.lost};
        if (host.lost.empty() && reply.status != status_good)
        {
            host.lost = fmt::format("status {}", reply.status);
        }
        if (host.lost.empty())
        {
            const json value = json::parse(reply.body, nullptr, false);
            host.lost = add_host(value, report, host);
        }
        report.hosts.push_back(std::move(host));
    }
    return report;
}

burn_verdict judge_burn(const burn_class& one, double scale)
{
    weighted_windows sums{};
    add_windows(sums, one, 1.0);
    return judge(sums, scale);
}

burn_verdict judge_burn(const burn_report& report)
{
    weighted_windows sums{};
    for (const auto& [name, one] : report.classes)
    {
        add_windows(sums, one, one.worth);
    }
    return judge(sums, report.scale);
}

std::optional<double> served_share(const burn_report& report,
                                   std::size_t window)
{
    weighted_windows sums{};
    for (const auto& [name, one] : report.classes)
    {
        add_windows(sums, one, one.worth);
    }
    const weighted_counts& sum = sums.at(window);
    if (sum.total <= 0.0)
    {
        return std::nullopt;
    }
    return 1.0 - sum.missed / sum.total;
}

std::string_view name_of(burn_alert alert)
{
    constexpr std::array<std::string_view, 3> names = {"none", "slow", "fast"};
    return names.at(static_cast<std::size_t>(alert));
}

} // namespace basilpath
