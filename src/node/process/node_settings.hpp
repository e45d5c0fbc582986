/// Settings of one node.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace basilpath
{

/// Ports of a host that are free for traffic between hosts, both ends included.
struct port_range
{
    std::uint16_t first = 0;
    std::uint16_t last = 0;
};

/// Where a host of this IP hears other hosts: on the first of the ports, which
/// are the same on all hosts.
[[nodiscard]] peer_address peer_address_of(const std::string& ip,
                                           const port_range& ports);

/// Where a host of this IP takes subqueries: on the second of the ports; empty
/// when there is only one.
[[nodiscard]] peer_address link_address_of(const std::string& ip,
                                           const port_range& ports);

/// What the platform tells a process when it starts.
struct node_settings
{
    host_id name;
    failure_domain domain;
    region_name region;

    /// The region of each failure domain.
    std::map<failure_domain, region_name> domains;

    /// Where callers connect.
    http_address callers;

    /// Where the platform asks for readiness.
    http_address readiness;

    /// Where callers ask which host to use.
    http_address directory;

    /// Where metrics are read; empty for nowhere.
    http_address metrics;

    /// Where other nodes connect; the port is the same on all hosts.
    peer_address peers;

    /// Where other nodes send subqueries; empty when no port is free.
    peer_address links;

    /// Hosts to ask for others; may be old or down.
    std::vector<peer_address> seeds;

    /// The whole system starts for the first time, all hosts at once.
    bool first_start = false;

    /// The platform's store.
    http_address store;

    /// Share of a core that this host has.
    double processor_share = 1.0;

    /// Bandwidth of the host's link in Mbit/s.
    double link_mbps = 1000.0;

    /// Longest time between SIGTERM and the end.
    milliseconds shutdown_timeout{6'000};

    /// A replica that leaves gets its last new request within this time.
    milliseconds replica_drain_timeout{3'000};

    /// Requests sent a second time: at most this share of the requests, plus
    /// the slack, of all hosts together in each window.
    double repeat_ratio = 0.2;
    double repeat_slack = 10.0;
    milliseconds repeat_window{10'000};

    /// Longest time that callers keep an answer of the directory.
    milliseconds directory_max_age{5'000};

    bool operator==(const node_settings&) const = default;

    /// Tells whether these settings listen and connect where the other ones do.
    [[nodiscard]] bool same_addresses(const node_settings& other) const;

    /// Takes what may change while the process runs.
    void apply_reloadable(const node_settings& other);
};

} // namespace basilpath
