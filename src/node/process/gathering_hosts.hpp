/// Which hosts gather for this one, and how many call the replicas beside it.
#pragma once

#include "node/process/delegate_pool.hpp"
#include "node/process/member.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <set>
#include <span>
#include <vector>

namespace basilpath
{

/// A choice that all hosts with the same view of the members make alike.
struct gathering_hosts
{
    /// Hosts of other failure domains that may be asked.
    std::vector<delegate> delegates;

    /// Hosts that call the replicas of this host's failure domain: those of the
    /// domain, or all as long as some host takes no subqueries.
    std::size_t local_host_count = 0;
};

/// Chooses among the hosts that serve callers, as only these have connections
/// to each replica. Answers the load in which hosts of an earlier release,
/// which call every replica themselves, serve beside those of this one.
[[nodiscard]] gathering_hosts
choose_gathering(std::span<const member> live,
                 const std::set<http_address>& serving,
                 const failure_domain& own);

} // namespace basilpath
