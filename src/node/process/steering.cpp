#include "node/process/steering.hpp"

#include <algorithm>
#include <iterator>

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

} // namespace

std::vector<http_address> steer(const steering_state& state,
                                const directory_question& question)
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
    hosts = prefer(hosts, [&question](const member& one)
                   { return one.domain == question.domain; });

    // Step 3. Their addresses.
    hosts.resize(std::min(hosts.size(), directory_limit));
    std::vector<http_address> addresses;
    std::ranges::transform(hosts, std::back_inserter(addresses),
                           [](const member& one) { return one.callers; });
    return addresses;
}

} // namespace basilpath
