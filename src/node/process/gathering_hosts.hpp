/// Chooses the hosts that gather for this one and counts those that call the
/// replicas of its failure domain.
#pragma once

#include "node/process/delegate_pool.hpp"
#include "node/process/evacuated_domains.hpp"
#include "node/process/member.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <set>
#include <span>
#include <vector>

namespace basilpath
{

/// The choice of gathering hosts. All hosts with the same view of the members
/// make the same choice.
struct gathering_hosts
{
    /// Hosts of other failure domains that accept subqueries.
    std::vector<delegate> delegates;

    /// Number of hosts that call the replicas of this host's failure domain:
    /// those of the domain, or all serving hosts as long as one of them accepts
    /// no subqueries.
    std::size_t local_host_count = 0;
};

/// Chooses among the hosts that serve callers, since only these have
/// connections to each replica. None in an evacuated domain gathers, as it may
/// call no replica there. Handles a rolling upgrade, in which hosts of an
/// earlier release, which call every replica themselves, serve alongside hosts
/// of this one.
[[nodiscard]] gathering_hosts choose_gathering_hosts(
    std::span<const member> live, const std::set<http_address>& serving,
    const failure_domain& own, const evacuated_domains& evacuated = {});

} // namespace basilpath
