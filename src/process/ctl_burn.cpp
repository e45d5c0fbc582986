#include "process/burn_report.hpp"
#include "process/burn_text.hpp"
#include "process/ctl_hosts.hpp"
#include "process/ctl_json.hpp"
#include "process/host_fetch.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilpath
{

ctl_result report_burn(const std::vector<host_reply>& replies,
                       ctl_format format)
{
    const burn_report report = read_burn_report(replies);
    std::string text = format == ctl_format::json
                           ? to_json_line(burn_to_json(report))
                           : burn_to_text(report);
    if (report.lost_hosts() == report.hosts.size())
    {
        return {ctl_exit::none_reached, std::move(text)};
    }
    if (report.lost_hosts() > 0)
    {
        return {ctl_exit::some_lost, std::move(text)};
    }
    const bool alert = std::ranges::any_of(
        report.classes,
        [&](const auto& entry) {
            return judge_burn(entry.second, report.scale).alert !=
                   burn_alert::none;
        });
    return {alert ? ctl_exit::finding : ctl_exit::good, std::move(text)};
}

} // namespace basilpath
