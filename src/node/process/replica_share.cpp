#include "node/process/replica_share.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Part of a replica's connections that the hosts that serve callers share. The
// rest is for health checks, for callers that keep an old answer of the
// directory, and for hosts that do not agree on who serves.
constexpr std::size_t shared_percent = 80;

// Calls beyond its slots that hosts together keep at a replica, so that its
// slots are never empty.
constexpr std::size_t queue_places = 1;

} // namespace

std::size_t connection_share(std::size_t limit, const sharing_hosts& hosts)
{
    const std::size_t shared = limit * shared_percent / 100;
    return hosts.own ? std::max<std::size_t>(1, shared / hosts.count) : 1;
}

bool may_send(const replica_usage& usage, const sharing_hosts& hosts)
{
    const std::size_t places = usage.slots + queue_places;
    const std::size_t share = (places + hosts.count - 1) / hosts.count;
    const double all = static_cast<double>(usage.own) + usage.others;
    return usage.own < share || all + 1.0 <= static_cast<double>(usage.slots);
}

} // namespace basilpath
