/// Metrics of a node.
#pragma once

#include "node/process/limited_sends.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/request/decision_trace.hpp"
#include "process/metrics_registry.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace basilpath
{

/// Values that other parts of the node maintain.
struct node_stats
{
    std::uint64_t store_calls = 0;
    std::uint64_t datagrams_sent = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t requests_not_logged = 0;
    std::uint64_t message_bytes_refused = 0;
    double message_bytes = 0;
    double live_hosts = 0;
    double hosts_without_store = 0;
    double replicas = 0;
    double limited_replicas = 0;
    double cold_replicas = 0;
    double leaving_replicas = 0;
    double quarantined_requests = 0;
    double scarce_groups = 0;
    double evacuated_domains = 0;
    double evacuation_revision = 0;
    std::uint64_t evacuation_moved_calls = 0;
    double slack_share = 0;
    limited_sends::by_purpose limited_by_purpose{};
    double configuration_version = 0;
    double view_age_seconds = 0;
    double store_era = 0;
    double store_revision = 0;
    std::uint64_t store_restores = 0;
    double deferred_changes = 0;
    double connections = 0;
    traffic_meter traffic;
};

/// Counts requests by route and outcome, and decisions by kind. The metrics are
/// described in docs/metrics.md.
class node_metrics
{
public:
    /// Counts a finished request and its decisions.
    void note(const request_summary& summary, const decision_trace& trace);

    /// Records the time from the first offer of a later view of the store until
    /// this host had it.
    void note_view_lag(std::chrono::microseconds lag);

    /// Records a fetch of a view from another host.
    void note_view_fetch(std::chrono::microseconds took, bool received);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string expose(const node_stats& stats);

private:
    void raise_counter(std::string_view name, std::string_view help,
                       std::uint64_t value);

    metrics_registry registry;

    /// Series by route and outcome, and by decision, to avoid a lookup in the
    /// registry for each count.
    std::map<std::pair<std::string, std::string>, counter*> requests;
    std::map<std::string, latency_histogram*> latencies;
    std::map<decision, counter*> decisions;
};

} // namespace basilpath
