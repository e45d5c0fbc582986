/// How much of one replica this host may use, beside the other hosts.
#pragma once

#include <cstddef>

namespace basilpath
{

/// Hosts that share the replicas.
struct sharing_hosts
{
    /// Hosts that callers are sent to, at least one.
    std::size_t count = 1;

    /// This host is one of them.
    bool own = false;
};

/// Connections that this host may have open to a replica that accepts `limit`
/// from all hosts together. Answers the load in which a new host, or one that
/// serves callers with an old address, finds the replica's connections taken.
[[nodiscard]] std::size_t connection_share(std::size_t limit,
                                           const sharing_hosts& hosts);

/// Calls that are at a replica.
struct replica_usage
{
    /// Calls that it runs at the same time.
    std::size_t slots = 1;

    /// Calls of this host.
    std::size_t own = 0;

    /// Calls of other hosts, as far as it told.
    double others = 0.0;
};

/// Tells whether one more call of this host may go to a replica now: within its
/// share of the slots and of a short queue, or into a slot that is free.
/// Answers the load in which more is asked than a replica can do: what waits
/// at the replica cannot be ordered or moved, what waits here can.
[[nodiscard]] bool may_send(const replica_usage& usage,
                            const sharing_hosts& hosts);

} // namespace basilpath
