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

// Least addresses of an answer.
constexpr std::size_t least_hosts = 2;

// Hosts with less than this share of the strongest one's processor or link
// stand by: their answers come late when they are busy.
constexpr double least_strength = 0.7;

// Moves the hosts that a predicate accepts to a list of their own, unless they
// are too few.
template <class Predicate>
std::vector<member> prefer(const std::vector<member>& hosts, Predicate wanted)
{
    std::vector<member> chosen;
    std::ranges::copy_if(hosts, std::back_inserter(chosen), wanted);
    return chosen.size() >= std::min(least_hosts, hosts.size()) ? chosen
                                                                : hosts;
}

// Keeps `most` hosts, as many of each failure domain; all hosts choose the
// same.
std::vector<member> limit(std::vector<member> hosts, std::size_t most)
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
    const std::size_t each = std::max(
        least_hosts, most / std::max<std::size_t>(by_domain.size(), 1));
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
                                       const directory_request& question)
{
    // Step 1. Only hosts that can serve.
    std::vector<member> hosts;
    std::ranges::copy_if(state.hosts, std::back_inserter(hosts),
                         [](const member& one) {
                             return one.ready &&
                                    one.state == member_state::alive;
                         });

    // Step 2. Strong hosts, then those beside replicas, then the near ones.
    double processor = 0;
    double link = 0;
    for (const member& one : hosts)
    {
        processor = std::max(processor, one.processor_share);
        link = std::max(link, one.link_mbps);
    }
    hosts =
        prefer(hosts,
               [=](const member& one)
               {
                   return one.processor_share >= processor * least_strength &&
                          one.link_mbps >= link * least_strength;
               });
    hosts = prefer(hosts, [&state](const member& one)
                   { return state.replica_domains.contains(one.domain); });
    hosts = limit(std::move(hosts), state.most_hosts);
    hosts = prefer(hosts, [&question](const member& one)
                   { return one.domain == question.domain; });

    // Step 3. Their addresses.
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
