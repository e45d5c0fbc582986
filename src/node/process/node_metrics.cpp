#include "node/process/node_metrics.hpp"

#include "process/process_usage.hpp"

namespace basilpath
{

void node_metrics::note(const request_summary& summary,
                        const decision_trace& trace)
{
    auto& count = this->requests[{summary.route, summary.outcome}];
    if (!count)
    {
        count = &this->registry.add_counter(
            "basilpath_node_requests_total", "Requests by route and outcome.",
            {{"route", summary.route}, {"outcome", summary.outcome}});
    }
    count->add();
    auto& latency = this->latencies[summary.route];
    if (!latency)
    {
        latency = &this->registry.add_histogram(
            "basilpath_node_request_seconds",
            "Time from the arrival of a request to its answer.",
            {{"route", summary.route}});
    }
    latency->record(summary.took);
    for (const decision_record& one : trace.decisions())
    {
        auto& series = this->decisions[one.what];
        if (!series)
        {
            series = &this->registry.add_counter(
                "basilpath_node_decisions_total",
                "Decisions on calls to replicas, and what came of the calls.",
                {{"decision", std::string(to_text(one.what))}});
        }
        series->add();
    }
}

void node_metrics::note_view_lag(std::chrono::microseconds lag)
{
    this->registry
        .add_histogram("basilpath_node_view_lag_seconds",
                       "Time from the first offer of a later view of the store "
                       "until this host had it.",
                       {})
        .record(lag);
}

void node_metrics::note_view_fetch(std::chrono::microseconds took,
                                   bool received)
{
    this->registry
        .add_histogram("basilpath_node_view_fetch_seconds",
                       "Duration of fetches of views from other hosts.",
                       {{"result", received ? "received" : "failed"}})
        .record(took);
}

std::string node_metrics::expose(const node_stats& stats)
{
    this->raise_counter("basilpath_node_store_calls_total",
                        "Calls to the platform's store; a watch counts as one.",
                        stats.store_calls);
    this->raise_counter("basilpath_node_datagrams_sent_total",
                        "Datagrams sent to other hosts.", stats.datagrams_sent);
    this->raise_counter("basilpath_node_log_lines_dropped_total",
                        "Log lines dropped because the reader did not keep up.",
                        stats.log_lines_dropped);
    this->raise_counter("basilpath_node_requests_not_logged_total",
                        "Failed requests not logged, to bound the volume.",
                        stats.requests_not_logged);
    this->raise_counter("basilpath_node_message_memory_refused_total",
                        "Messages for which the bound left no room.",
                        stats.message_bytes_refused);
    for (std::size_t i = 0; i < traffic_purpose_names.size(); ++i)
    {
        counter& exposed = this->registry.add_counter(
            "basilpath_node_domain_bytes_total",
            "Payload between failure domains by purpose.",
            {{"purpose", std::string(traffic_purpose_names.at(i))}});
        exposed.add(stats.traffic.total(static_cast<traffic_purpose>(i)) -
                    exposed.value());
    }
    for (std::size_t i = 0; i < call_purpose_names.size(); ++i)
    {
        counter& exposed = this->registry.add_counter(
            "basilpath_node_limited_sends_total",
            "Sends to replicas that name a limit, by purpose.",
            {{"purpose", std::string(call_purpose_names.at(i))}});
        exposed.add(stats.limited_by_purpose.at(i) - exposed.value());
    }
    this->raise_counter("basilpath_node_evacuation_moved_calls_total",
                        "Calls that left the queue of an evacuated replica.",
                        stats.evacuation_moved_calls);
    this->raise_counter("basilpath_node_store_restores_total",
                        "Times that the view followed a restored store.",
                        stats.store_restores);
    const auto gauge =
        [this](std::string_view name, std::string_view help, double value)
    {
        this->registry.add_gauge(name, help).set(value);
    };
    gauge("basilpath_node_live_hosts", "Hosts that live, this one included.",
          stats.live_hosts);
    gauge("basilpath_node_hosts_without_store",
          "Live hosts that say that they have lost the store.",
          stats.hosts_without_store);
    gauge("basilpath_node_replicas", "Replicas that are known.",
          stats.replicas);
    gauge("basilpath_node_limited_replicas", "Replicas that name a limit.",
          stats.limited_replicas);
    gauge("basilpath_node_cold_replicas",
          "Replicas whose requests are limited because they are cold.",
          stats.cold_replicas);
    gauge("basilpath_node_leaving_replicas",
          "Replicas whose answers say that they leave.",
          stats.leaving_replicas);
    gauge("basilpath_node_quarantined_requests",
          "Requests that are not sent to replicas because they crash them.",
          stats.quarantined_requests);
    gauge("basilpath_node_scarce_groups",
          "Groups of services whose replicas have no slots to spare.",
          stats.scarce_groups);
    gauge("basilpath_node_evacuated_domains",
          "Failure domains to whose replicas nothing may be sent.",
          stats.evacuated_domains);
    gauge("basilpath_node_evacuation_revision",
          "Revision of the store at the last change of an evacuation.",
          stats.evacuation_revision);
    gauge("basilpath_node_slack_share",
          "This host's share of the slack of the retry budget, as a fraction.",
          stats.slack_share);
    gauge("basilpath_node_configuration_version",
          "Version of the configuration in force; zero before the first.",
          stats.configuration_version);
    gauge("basilpath_node_view_age_seconds",
          "Time since the store confirmed what is known of it.",
          stats.view_age_seconds);
    gauge("basilpath_node_store_era",
          "Era of the store in this host's view; zero if it has none.",
          stats.store_era);
    gauge("basilpath_node_store_revision",
          "Revision of the store, within its era, in this host's view.",
          stats.store_revision);
    gauge("basilpath_node_deferred_changes",
          "Changes by a restored store that this host does not follow yet.",
          stats.deferred_changes);
    gauge("basilpath_node_caller_connections", "Open connections of callers.",
          stats.connections);
    gauge("basilpath_node_message_bytes",
          "Bytes of messages that are held against the bound for the host.",
          stats.message_bytes);
    const process_usage usage = read_process_usage();
    gauge("basilpath_node_cpu_seconds", "Processor time used.",
          usage.cpu_seconds);
    gauge("basilpath_node_peak_resident_bytes", "Peak resident memory.",
          usage.peak_resident_bytes);
    return this->registry.expose();
}

// Raises an exposed counter to a value that is maintained elsewhere.
void node_metrics::raise_counter(std::string_view name, std::string_view help,
                                 std::uint64_t value)
{
    counter& exposed = this->registry.add_counter(name, help);
    exposed.add(value - exposed.value());
}

} // namespace basilpath
