#include "version/ownership.hpp"

#include "version/host_list.hpp"
#include "version/service.hpp"
#include "version/shard.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

// Sorts hosts by falling rendezvous hash with a key; ties by id.
void sort_by_hash(std::vector<const host*>& hosts, std::string_view key)
{
    const auto rank = [key](const host* one)
    {
        return std::pair(~rendezvous_hash(key, one->id.value), one->id);
    };
    std::ranges::sort(hosts, {}, rank);
}

// Collects the hosts that a predicate selects.
template <class Predicate>
std::vector<const host*> select(const host_list& hosts, Predicate wanted)
{
    std::vector<const host*> chosen;
    for (const host& one : hosts.hosts)
    {
        if (wanted(one))
        {
            chosen.push_back(&one);
        }
    }
    return chosen;
}

} // namespace

std::vector<const host*> hosts_of_service(const service& wanted,
                                          const host_list& hosts,
                                          const std::set<host_id>& dead)
{
    auto chosen = select(hosts, [&dead](const host& one)
                         { return !one.leaving && !dead.contains(one.id); });
    if (chosen.empty())
    {
        chosen = select(hosts, [](const host&) { return true; });
    }
    sort_by_hash(chosen, wanted.name.value);
    if (chosen.size() > wanted.owner_hosts)
    {
        chosen.resize(wanted.owner_hosts);
    }
    return chosen;
}

owner_ranking rank_owners(const shard& wanted,
                          const std::vector<const host*>& hosts)
{
    owner_ranking ranking{hosts};
    if (hosts.empty() || wanted.leaves.empty())
    {
        return ranking;
    }
    sort_by_hash(ranking.hosts, std::ranges::min(wanted.leaves).value);
    const failure_domain& first = ranking.hosts.front()->domain;
    const auto rest = ranking.hosts.begin() + 1;
    const auto elsewhere = std::find_if(rest, ranking.hosts.end(),
                                        [&first](const host* one)
                                        { return one->domain != first; });
    if (elsewhere != ranking.hosts.end())
    {
        std::rotate(rest, elsewhere, elsewhere + 1);
    }
    return ranking;
}

} // namespace basilpath
