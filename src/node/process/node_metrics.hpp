/// Metrics of a node.
#pragma once

#include "node/process/traffic_meter.hpp"
#include "node/request/decision_trace.hpp"
#include "process/metrics_registry.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace basilpath
{

/// Figures that other parts of the node keep.
struct node_figures
{
    std::uint64_t store_calls = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t requests_not_logged = 0;
    double live_hosts = 0;
    double replicas = 0;
    double configuration_version = 0;
    double view_age_seconds = 0;
    double connections = 0;
    traffic_meter traffic;
};

/// Counts requests by route and outcome, and decisions by kind. The names
/// stand in docs/metrics.md.
class node_metrics
{
public:
    /// Counts a request that has ended, with its decisions.
    void note(const request_summary& summary, const decision_trace& trace);

    /// All metrics in the text format.
    [[nodiscard]] std::string expose(const node_figures& figures);

private:
    void follow(std::string_view name, std::string_view help,
                std::uint64_t value);

    metrics_registry registry;

    /// Series by route and outcome, and by decision, so that counting does
    /// not look them up by text.
    std::map<std::pair<std::string, std::string>, counter*> requests;
    std::map<std::string, latency_histogram*> latencies;
    std::map<decision, counter*> decisions;
};

} // namespace basilpath
