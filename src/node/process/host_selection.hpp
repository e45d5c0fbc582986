/// Which hosts a caller is sent to.
#pragma once

#include "node/process/directory_request.hpp"
#include "node/process/member.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace basilpath
{

/// Most addresses that a caller takes.
inline constexpr std::size_t directory_limit = 64;

/// What the directory knows when it is asked.
struct cluster_state
{
    /// Live members.
    std::vector<member> hosts;

    /// Failure domains in which replicas of shards stand.
    std::set<failure_domain> replica_domains;

    /// Most hosts that should serve callers at a time, so that each has its
    /// share of every replica's connections; zero for no bound.
    std::size_t most_hosts = 0;
};

/// The addresses for one caller: hosts that are ready and do not leave. Hosts
/// beside the replicas are preferred, because an answer is small and the parts
/// that make it are many; of these the ones in the caller's domain; hosts that
/// are much weaker than the strongest stand by, and so do those that would make
/// the share of a replica's connections too small. Never fewer than
/// `least_hosts` while there are more, so that a caller outlives the loss of
/// one. Answers the load in which weak hosts or long ways make answers late.
[[nodiscard]] std::vector<http_address>
select_hosts(const cluster_state& state, const directory_request& question);

/// The hosts that callers of some domain are sent to.
[[nodiscard]] std::set<http_address>
serving_hosts(const cluster_state& state,
              const std::map<failure_domain, region_name>& domains);

} // namespace basilpath
