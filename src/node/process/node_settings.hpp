/// Settings of one node.
#pragma once

#include "node/process/cold_limit.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basilpath
{

/// Ports of a host for traffic between hosts, both ends included.
struct port_range
{
    std::uint16_t first = 0;
    std::uint16_t last = 0;
};

/// Returns the address at which a host with this IP address receives from other
/// hosts: the first of the ports, which are the same on all hosts.
[[nodiscard]] peer_address peer_address_of(const std::string& ip,
                                           const port_range& ports);

/// Returns the address at which a host with this IP address accepts subqueries:
/// the second of the ports; empty when there is only one.
[[nodiscard]] peer_address link_address_of(const std::string& ip,
                                           const port_range& ports);

/// Settings that the platform passes to a process at its start.
struct node_settings
{
    host_id name;
    failure_domain domain;
    region_name region;

    /// The region of each failure domain.
    std::map<failure_domain, region_name> domains;

    /// Address at which callers connect.
    http_address callers;

    /// Address of the readiness check.
    http_address readiness;

    /// Address at which callers request the hosts to use.
    http_address directory;

    /// Address at which metrics are served; empty to disable them.
    http_address metrics;

    /// Address for gossip with other nodes; the port is the same on all hosts.
    peer_address peers;

    /// Address at which other nodes send subqueries; empty when no port is left
    /// for it.
    peer_address links;

    /// Hosts from which members are discovered; some may be outdated or down.
    std::vector<peer_address> seeds;

    /// Whether the whole system starts for the first time, all hosts at once.
    bool first_start = false;

    /// Address of the platform's store.
    http_address store;

    /// CPU share of this host, in cores.
    double processor_share = 1.0;

    /// Memory limit of this host in bytes.
    double memory_bytes = 260e6;

    /// Bandwidth of the host's link in Mbit/s.
    double link_mbps = 1000.0;

    /// Longest time from SIGTERM to the end of the process.
    milliseconds shutdown_timeout{6'000};

    /// Time within which a leaving replica gets its last new request.
    milliseconds replica_drain_timeout{3'000};

    /// Time without a sign of life after which the store removes a replica.
    milliseconds registration_timeout{3'600};

    /// Retry budget of all hosts together in each window: this share of the
    /// requests, plus the slack.
    double repeat_ratio = 0.2;
    double repeat_slack = 10.0;
    milliseconds repeat_window{10'000};

    /// What all hosts together may send to a cold replica in a second.
    cold_excess cold_bound;

    /// Longest time for which callers cache an answer of the directory.
    milliseconds directory_max_age{5'000};

    bool operator==(const node_settings&) const = default;

    /// Returns whether these settings use the same addresses as `other`.
    [[nodiscard]] bool same_addresses(const node_settings& other) const;

    /// Copies the settings that may change while the process runs.
    void apply_reloadable(const node_settings& other);
};

} // namespace basilpath
