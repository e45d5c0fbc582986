#include "node/process/host_selection.hpp"

#include "version/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace basilpath
{

namespace
{

// Fewest addresses to return, if there are as many hosts.
constexpr std::size_t min_hosts = 2;

// Hosts with less than this share of the largest CPU share or bandwidth are not
// preferred: their answers come late when they are busy.
constexpr double min_relative_strength = 0.7;

// Returns the hosts that the predicate accepts, or all if those are too few.
template <class Predicate>
std::vector<member> prefer(const std::vector<member>& hosts, Predicate accepts)
{
    std::vector<member> chosen;
    std::ranges::copy_if(hosts, std::back_inserter(chosen), accepts);
    return chosen.size() >= std::min(min_hosts, hosts.size()) ? chosen : hosts;
}

// Keeps about `most` hosts, the same number in each failure domain but at least
// `min_hosts`. All hosts make the same choice.
std::vector<member> limit_hosts(std::vector<member> hosts, std::size_t most)
{
    if (most == 0 || hosts.size() <= most)
    {
        return hosts;
    }
    std::map<failure_domain, std::vector<member>> by_domain;
    for (member& one : hosts)
    {
        by_domain[one.domain].push_back(std::move(one));
    }
    const std::size_t each =
        std::max(min_hosts, most / std::max<std::size_t>(by_domain.size(), 1));
    std::vector<member> chosen;
    for (auto& [domain, list] : by_domain)
    {
        std::ranges::sort(
            list, {},
            [](const member& one)
            { return rendezvous_hash("serving", one.address.value); });
        list.resize(std::min(list.size(), each));
        std::ranges::move(list, std::back_inserter(chosen));
    }
    return chosen;
}

} // namespace

std::vector<http_address> select_hosts(const cluster_state& state,
                                       const directory_request& request)
{
    // Step 1. Keep only the hosts that can serve.
    std::vector<member> hosts;
    std::ranges::copy_if(state.hosts, std::back_inserter(hosts),
                         [](const member& one) {
                             return one.ready &&
                                    one.state == member_state::alive;
                         });

    // Step 2. Prefer strong hosts, then hosts in the replicas' domains, then
    // hosts in the caller's domain.
    double max_processor_share = 0;
    double max_link_mbps = 0;
    for (const member& one : hosts)
    {
        max_processor_share =
            std::max(max_processor_share, one.processor_share);
        max_link_mbps = std::max(max_link_mbps, one.link_mbps);
    }
    hosts = prefer(hosts,
                   [=](const member& one)
                   {
                       return one.processor_share >=
                                  max_processor_share * min_relative_strength &&
                              one.link_mbps >=
                                  max_link_mbps * min_relative_strength;
                   });
    hosts = prefer(hosts, [&state](const member& one)
                   { return state.replica_domains.contains(one.domain); });
    hosts = limit_hosts(std::move(hosts), state.most_hosts);
    hosts = prefer(hosts, [&request](const member& one)
                   { return one.domain == request.domain; });

    // Step 3. Return their addresses.
    hosts.resize(std::min(hosts.size(), directory_limit));
    std::vector<http_address> addresses;
    std::ranges::transform(hosts, std::back_inserter(addresses),
                           [](const member& one) { return one.callers; });
    return addresses;
}

std::set<http_address>
serving_hosts(const cluster_state& state,
              const std::map<failure_domain, region_name>& domains)
{
    std::set<http_address> serving;
    for (const auto& [domain, region] : domains)
    {
        for (const http_address& one : select_hosts(state, {region, domain}))
        {
            serving.insert(one);
        }
    }
    return serving;
}

} // namespace basilpath
