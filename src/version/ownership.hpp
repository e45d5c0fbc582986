/// Which hosts own a shard's leaves: computed alike by everyone, by rendezvous
/// hashing, from the host list alone.
#pragma once

#include "version/host.hpp"
#include "version/ids.hpp"
#include "version/rendezvous.hpp"

#include <set>
#include <vector>

namespace basilpath
{

struct host_list;
struct service;
struct shard;

/// Hosts in the order in which they own the leaves of one shard. The first
/// that is alive and responsive is the owner. The second stands in another
/// failure domain than the first where there is one.
struct owner_ranking
{
    std::vector<const host*> hosts;
};

/// The hosts that may own leaves of a service: the `owner_hosts` hosts with
/// the largest hash of service and host. Dead hosts are passed over; leaving
/// hosts are used only when no other is left.
[[nodiscard]] std::vector<const host*>
hosts_of_service(const service& wanted, const host_list& hosts,
                 const std::set<host_id>& dead);

/// Ranks the hosts of a service for one shard. Shards that have their first
/// leaf in common rank alike, so that a leaf keeps its owner across versions.
[[nodiscard]] owner_ranking rank_owners(const shard& wanted,
                                        const std::vector<const host*>& hosts);

} // namespace basilpath
