/// Selects the hosts that a caller is directed to.
#pragma once

#include "node/process/directory_request.hpp"
#include "node/process/member.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace basilpath
{

/// Most addresses that a caller accepts.
inline constexpr std::size_t directory_limit = 64;

/// Input of the host selection.
struct cluster_state
{
    /// Live members.
    std::vector<member> hosts;

    /// Failure domains that hold replicas of shards.
    std::set<failure_domain> replica_domains;

    /// Most hosts that should serve callers at a time, so that each gets its
    /// share of every replica's connections; zero for no limit.
    std::size_t most_hosts = 0;
};

/// Returns the addresses for one caller: hosts that are ready and not leaving.
/// Hosts in the replicas' domains are preferred, because an answer is small but
/// is made from many parts; among these, hosts in the caller's domain. Hosts
/// much weaker than the strongest are left out, and so are those that would
/// make each host's share of a replica's connections too small. Returns at
/// least `min_hosts` if there are as many, so that a caller survives the loss
/// of one. Needed when weak hosts or long network paths make answers late.
[[nodiscard]] std::vector<http_address>
select_hosts(const cluster_state& state, const directory_request& request);

/// Returns the hosts that callers of any of these domains are directed to.
[[nodiscard]] std::set<http_address>
serving_hosts(const cluster_state& state,
              const std::map<failure_domain, region_name>& domains);

} // namespace basilpath
