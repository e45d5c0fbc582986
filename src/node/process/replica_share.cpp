#include "node/process/replica_share.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Percentage of a replica's connections that the hosts that serve callers
// divide. The rest is for health checks, for callers that use an outdated
// directory, and for hosts that disagree on which hosts serve.
constexpr std::size_t connections_shared_percent = 80;

// Calls beyond its slots that all hosts together keep at a replica, so that no
// slot is idle.
constexpr std::size_t shared_queue_slots = 1;

} // namespace

std::size_t connection_share(std::size_t limit, const sharing_hosts& hosts)
{
    const std::size_t shared = limit * connections_shared_percent / 100;
    return hosts.own ? std::max<std::size_t>(1, shared / hosts.count) : 1;
}

bool may_send(const replica_usage& usage, const sharing_hosts& hosts)
{
    const std::size_t places = usage.slots + shared_queue_slots;
    const std::size_t share = (places + hosts.count - 1) / hosts.count;
    const double all = static_cast<double>(usage.own) + usage.others;
    return usage.own < share || all + 1.0 <= static_cast<double>(usage.slots);
}

} // namespace basilpath
