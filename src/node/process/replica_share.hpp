/// Limits this host's share of a replica that other hosts use as well.
#pragma once

#include <cstddef>

namespace basilpath
{

/// Hosts that share the replicas.
struct sharing_hosts
{
    /// Number of hosts to which callers are directed, at least one.
    std::size_t count = 1;

    /// Whether this host is one of them.
    bool own = false;
};

/// Returns the number of connections that this host may open to a replica that
/// accepts `limit` from all hosts together. Needed when a new host, or one that
/// serves callers with an outdated address, finds all connections of the
/// replica in use.
[[nodiscard]] std::size_t connection_share(std::size_t limit,
                                           const sharing_hosts& hosts);

/// Calls in progress at a replica.
struct replica_usage
{
    /// Calls that it runs concurrently.
    std::size_t slots = 1;

    /// Calls of this host.
    std::size_t own = 0;

    /// Calls of other hosts, according to the replica's load report.
    double others = 0.0;
};

/// Returns whether this host may send one more call to a replica now: within
/// its share of the slots and of a short queue, or into a free slot. Needed
/// when replicas receive more than they can serve: calls queued at a replica
/// can neither be reordered nor moved, calls queued here can.
[[nodiscard]] bool may_send(const replica_usage& usage,
                            const sharing_hosts& hosts);

} // namespace basilpath
