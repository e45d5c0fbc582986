#include "standin/record_report.hpp"

#include "standin/leaf_group.hpp"
#include "standin/platform_service.hpp"

#include <nlohmann/json.hpp>

namespace basilpath::standin
{

namespace
{

using nlohmann::json;

json report_leaf(const leaf& about, const leaf_record& record)
{
    json one{{"connections", record.connections},
             {"connections_peak", record.connections_peak},
             {"connections_opened", record.connections_opened},
             {"connections_refused", record.connections_refused},
             {"connection_limit", about.connections},
             {"slots", about.slots},
             {"received", record.received},
             {"started", record.started},
             {"finished", record.finished},
             {"cancelled", record.cancelled},
             {"shed", record.shed},
             {"draining", record.draining},
             {"wrong_version", record.wrong_version},
             {"past_deadline", record.past_deadline},
             {"malformed", record.malformed},
             {"unheard", record.dropped_silently},
             {"crashes", record.crashes},
             {"leaving", record.leaving_since.has_value()},
             {"last_request_after_leaving_ms", nullptr}};
    if (record.leaving_since && record.last_after_leaving)
    {
        const std::chrono::duration<double, std::milli> after =
            *record.last_after_leaving - *record.leaving_since;
        one["last_request_after_leaving_ms"] = after.count();
    }
    return one;
}

json report_execution(const std::string& key, const execution& seen)
{
    json one{{"key", key},
             {"received", seen.received},
             {"count", seen.started},
             {"finished", seen.finished},
             {"first_start_us", nullptr}};
    if (seen.first_start)
    {
        one["first_start_us"] =
            std::chrono::duration_cast<std::chrono::microseconds>(
                seen.first_start->time_since_epoch())
                .count();
    }
    return one;
}

} // namespace

std::string report_records(const leaf_group& leaves,
                           const platform_service& platform)
{
    json report;
    json& by_leaf = report["leaves"] = json::object();
    for (const auto& [id, one] : leaves.leaves())
    {
        by_leaf[id.value] = report_leaf(one->description(), one->record());
    }
    json& executions = report["executions"] = json::array();
    for (const auto& [key, seen] : leaves.executions().entries())
    {
        executions.push_back(report_execution(key, seen));
    }
    const platform_record& calls = platform.record();
    report["platform"] = {{"calls", calls.calls},
                          {"calls_by_value", calls.calls_by_value},
                          {"watches_waiting", calls.watches_waiting},
                          {"watches_peak", calls.watches_peak}};
    return report.dump();
}

} // namespace basilpath::standin
