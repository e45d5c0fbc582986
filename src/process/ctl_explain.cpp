#include "process/ctl_hosts.hpp"
#include "process/ctl_json.hpp"
#include "process/host_fetch.hpp"
#include "process/text_table.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr int status_good = 200;

// Writes the events of one host as a table; nothing when they are not of the
// documented form.
std::string events_text(const json& trace)
{
    text_table table({"after us", "event"});
    try
    {
        for (const json& event : trace.at("events"))
        {
            table.add({fmt::to_string(event.at("at_us").get<std::int64_t>()),
                       event.at("text").get<std::string>()});
        }
    }
    catch (const json::exception&)
    {
        return "its answer cannot be read\n";
    }
    return table.format();
}

// The inputs or results that a line tells beyond the columns of its table.
std::string inputs_text(const log_line& line)
{
    std::string text;
    for (const std::string_view key :
         {"service", "expected_us", "outstanding", "load_age_ms", "took_us",
          "status", "known", "down", "leaving", "asked", "limited",
          "evacuated"})
    {
        if (line.has(key))
        {
            text += fmt::format("{}{}={}", text.empty() ? "" : " ", key,
                                line.value(key));
        }
    }
    return text;
}

} // namespace

ctl_exit exit_for(const std::vector<host_reply>& replies, ctl_exit otherwise)
{
    std::size_t lost = 0;
    for (const host_reply& reply : replies)
    {
        lost += reply.lost.empty() ? 0 : 1;
    }
    if (lost == replies.size())
    {
        return ctl_exit::none_reached;
    }
    return lost > 0 ? ctl_exit::some_lost : otherwise;
}

ctl_result report_timeline(const std::string& request,
                           const request_timeline& timeline, ctl_format format)
{
    if (!timeline.found())
    {
        return {
            ctl_exit::finding,
            format == ctl_format::json
                ? to_json_line({{"request", request}, {"ends", json::array()}})
                : fmt::format("no line of these logs names request {}\n",
                              request)};
    }
    json ends = json::array();
    std::string text;
    for (const timeline_entry& end : timeline.outcomes())
    {
        const std::string cause = cause_of(timeline, end);
        text += fmt::format(
            "{} at {}: {} (status {}) after {} us\n  cause: {}\n", end.host,
            end.line.value("time"), outcome_of(end.line),
            end.line.value("status"), end.line.number("took_us"), cause);
        ends.push_back({{"host", end.host},
                        {"time", end.line.value("time")},
                        {"outcome", outcome_of(end.line)},
                        {"cause", cause}});
    }
    text_table events({"host", "after us", "event", "shard", "replica", ""});
    for (const timeline_entry& one : timeline.events())
    {
        events.add({one.host, one.line.value("at_us"), one.line.value("event"),
                    one.line.value("shard"), one.line.value("replica"),
                    inputs_text(one.line)});
    }
    text += "\n" + events.format();
    const auto replica_events = timeline.replica_events();
    if (!replica_events.empty())
    {
        text +=
            "\nwhat hosts noted of these replicas, each by its own clock:\n";
        text_table noted({"host", "time", "event", "replica"});
        for (const timeline_entry& one : replica_events)
        {
            noted.add({one.host, one.line.value("time"),
                       one.line.value("event"), one.line.value("replica")});
        }
        text += noted.format();
    }
    return {ctl_exit::good,
            format == ctl_format::json
                ? to_json_line({{"request", request}, {"ends", ends}})
                : text};
}

ctl_result report_explain(const std::string& request,
                          const std::vector<host_reply>& replies,
                          ctl_format format)
{
    json traces = json::array();
    std::string text;
    for (const host_reply& reply : replies)
    {
        if (!reply.lost.empty())
        {
            text += fmt::format("{}: lost: {}\n", reply.address, reply.lost);
            traces.push_back(
                {{"address", reply.address}, {"lost", reply.lost}});
        }
        else if (reply.status == status_good)
        {
            json trace = json::parse(reply.body, nullptr, false);
            text += fmt::format("{}:\n{}", reply.address, events_text(trace));
            traces.push_back(
                {{"address", reply.address},
                 {"lost", ""},
                 {"trace",
                  trace.is_discarded() ? json(nullptr) : std::move(trace)}});
        }
    }
    const bool found =
        std::ranges::any_of(replies, [](const host_reply& one)
                            { return one.status == status_good; });
    if (!found)
    {
        text +=
            fmt::format("no host that answered knows request {}\n", request);
    }
    return {exit_for(replies, found ? ctl_exit::good : ctl_exit::finding),
            format == ctl_format::json
                ? to_json_line({{"request", request}, {"hosts", traces}})
                : text};
}

} // namespace basilpath
