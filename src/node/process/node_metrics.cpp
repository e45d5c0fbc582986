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
        auto& made = this->decisions[one.what];
        if (!made)
        {
            made = &this->registry.add_counter(
                "basilpath_node_decisions_total",
                "Decisions on calls to replicas, and what came of the calls.",
                {{"decision", std::string(to_text(one.what))}});
        }
        made->add();
    }
}

std::string node_metrics::expose(const node_figures& figures)
{
    this->follow("basilpath_node_store_calls_total",
                 "Calls to the platform's store; a watch counts as one.",
                 figures.store_calls);
    this->follow("basilpath_node_datagrams_sent_total",
                 "Datagrams sent to other hosts.", figures.datagrams_sent);
    this->follow("basilpath_node_log_lines_dropped_total",
                 "Log lines dropped because the reader did not keep up.",
                 figures.log_lines_dropped);
    this->follow("basilpath_node_requests_not_logged_total",
                 "Failed requests not logged, to bound the volume.",
                 figures.requests_not_logged);
    for (std::size_t i = 0; i < traffic_names.size(); ++i)
    {
        counter& shown = this->registry.add_counter(
            "basilpath_node_domain_bytes_total",
            "Payload between failure domains by purpose.",
            {{"purpose", std::string(traffic_names.at(i))}});
        shown.add(figures.traffic.total(static_cast<traffic_purpose>(i)) -
                  shown.value());
    }
    const auto gauge =
        [this](std::string_view name, std::string_view help, double value)
    {
        this->registry.add_gauge(name, help).set(value);
    };
    gauge("basilpath_node_live_hosts", "Hosts that live, this one included.",
          figures.live_hosts);
    gauge("basilpath_node_replicas", "Replicas that are known.",
          figures.replicas);
    gauge("basilpath_node_configuration_version",
          "Version of the configuration in force; zero before the first.",
          figures.configuration_version);
    gauge("basilpath_node_view_age_seconds",
          "Time since the store confirmed what is known of it.",
          figures.view_age_seconds);
    gauge("basilpath_node_caller_connections", "Open connections of callers.",
          figures.connections);
    const process_usage used = read_process_usage();
    gauge("basilpath_node_cpu_seconds", "Processor time used.",
          used.cpu_seconds);
    gauge("basilpath_node_peak_resident_bytes", "Peak resident memory.",
          used.peak_resident_bytes);
    return this->registry.expose();
}

// Brings an exposed counter up to a figure that is kept elsewhere.
void node_metrics::follow(std::string_view name, std::string_view help,
                          std::uint64_t value)
{
    counter& shown = this->registry.add_counter(name, help);
    shown.add(value - shown.value());
}

} // namespace basilpath
