/// The burn report: the counts of several hosts together, and what they mean
/// for the objectives.
#pragma once

#include "process/burn_class.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

struct host_reply;

/// One host of the report.
struct burn_host
{
    std::string address;

    /// Time since the process started; its counts reach back no further.
    std::chrono::milliseconds uptime{0};

    /// Why the host is lost; empty when its counts are in the report.
    std::string lost;
};

/// Counts merged over all hosts that answered.
struct burn_report
{
    std::vector<burn_host> hosts;
    double scale = 1.0;
    std::map<std::string, burn_class> classes;

    /// Number of hosts whose counts are not in the report.
    [[nodiscard]] std::size_t lost_hosts() const;
};

/// How urgent a burn is.
enum class burn_alert : int
{
    none,
    slow, ///< the 30 min and the 6 h window both burn at 6 or more
    fast  ///< the 5 min and the 1 h window both burn at 14.4 or more
};

/// What the counts mean. A burn rate of 1 spends the budget exactly over the
/// longest window; the budget is the share of requests that need not be served.
struct burn_verdict
{
    /// One for each of `burn_windows`; zero when nothing came.
    std::array<double, burn_windows.size()> rates{};

    /// Share of the longest window's budget that is left; below zero when it
    /// is overspent.
    double budget_left = 1.0;

    /// When the budget runs out at the rate of the 1 h window; nothing when it
    /// does not, zero when it has.
    std::optional<std::chrono::seconds> runs_out;

    burn_alert alert = burn_alert::none;
};

/// Reads the replies of hosts to `GET /v1/burn`. A host that did not answer,
/// or whose answer cannot be read, is listed as lost, never as zero.
[[nodiscard]] burn_report
read_burn_report(const std::vector<host_reply>& replies);

/// Judges one class.
[[nodiscard]] burn_verdict judge_burn(const burn_class& one, double scale);

/// Judges all classes together, each request weighted by the worth of its
/// class.
[[nodiscard]] burn_verdict judge_burn(const burn_report& report);

/// Share of the requests of a window that were served, weighted by worth;
/// nothing when none came.
[[nodiscard]] std::optional<double> served_share(const burn_report& report,
                                                 std::size_t window);

/// The alert's name.
[[nodiscard]] std::string_view name_of(burn_alert alert);

} // namespace basilpath
