#include "node/process/limit_shares.hpp"

#include "version/rendezvous.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string_view>

namespace basilpath
{

namespace
{

// A lower limit is taken for this one, so that its end is noticed.
constexpr request_rate min_limit{0.25};

// Weight of a host that callers may reach and that announces no demand, in
// calls a second, so that a limit is shared before any demand is known.
constexpr double idle_weight = 0.2;

// A host keeps its place among those that share a limit while at least this
// part of its demand has settled.
constexpr double min_settled_share = 0.5;

// Returns the largest power of four that is not larger than the weight.
double class_weight(double weight)
{
    return std::exp2(2 * std::floor(std::log2(weight) / 2));
}

// Returns the place of a host or a replica on the ring.
std::uint64_t ring_position(std::string_view id)
{
    return rendezvous_hash("limit", id);
}

} // namespace

host_demand demanding_host::demand_for(demand_group group) const
{
    const auto found =
        std::ranges::find(this->demands, group, &host_demand::group);
    return found == this->demands.end() ? host_demand{group, 0, 0} : *found;
}

void add_unknown_hosts(std::vector<demanding_host>& hosts,
                       std::size_t min_hosts)
{
    while (!hosts.empty() && hosts.size() < min_hosts)
    {
        hosts.push_back({peer_address(fmt::format("unknown-{}", hosts.size())),
                         hosts.front().domain,
                         {},
                         true});
    }
}

void assume_equal_demand(std::vector<demanding_host>& hosts, demand_group group)
{
    if (hosts.empty())
    {
        return;
    }
    const host_demand assumed = hosts.front().demand_for(group);
    for (demanding_host& one : hosts | std::views::drop(1))
    {
        if (one.serves && one.demand_for(group).none())
        {
            std::erase(one.demands, host_demand{group, 0, 0});
            one.demands.push_back(assumed);
        }
    }
}

void limit_shares::set_hosts(std::vector<demanding_host> new_hosts,
                             std::vector<host_demand> settled,
                             std::size_t domains)
{
    this->hosts = std::move(new_hosts);
    this->domain_count = std::max<std::size_t>(domains, 1);
    this->rankings.clear();
    const auto self =
        std::ranges::find(this->hosts, this->own, &demanding_host::address);
    if (self != this->hosts.end())
    {
        this->settled_self = *self;
        this->settled_self.demands = std::move(settled);
    }
}

limit_share limit_shares::share_of(const limited_replica& one)
{
    const request_rate limit = std::max(one.limit, min_limit);
    const double burst = one.burst.seconds * limit.value + one.burst.requests;
    const ranking& ranked = this->rank(one.group, one.domain);

    // Step 1. Find the hosts for which a whole request is left.
    const auto admitted_end = std::ranges::partition_point(
        ranked, [burst](const weighted_host& host)
        { return burst * host.class_weight >= host.class_total; });
    const auto self = std::ranges::find(ranked, true, &weighted_host::own);
    if (admitted_end == ranked.begin() || self == ranked.end())
    {
        return {};
    }
    const weighted_host& last = *std::prev(admitted_end);

    // Step 2. Of the last class some may be left out: those that are furthest
    // on the ring from the replica's place.
    const auto last_class = std::ranges::equal_range(
        ranked, last.class_weight, std::ranges::greater{},
        &weighted_host::class_weight);
    const auto places = std::distance(last_class.begin(), admitted_end);
    const auto first = std::ranges::lower_bound(
        last_class, ring_position(one.id.value), {}, &weighted_host::position);
    const auto distance = self >= first
                              ? std::distance(first, self)
                              : std::distance(first, last_class.end()) +
                                    std::distance(last_class.begin(), self);
    const bool admitted =
        self->class_weight > last.class_weight ||
        (self->class_weight == last.class_weight && distance < places);
    if (!admitted)
    {
        return {};
    }

    // Step 3. Divide the limit among them, alike in a class that is not
    // admitted as a whole, since every host then has about one request at a
    // time.
    const bool whole = admitted_end == last_class.end();
    const double share = whole ? self->weight / last.total
                               : self->class_weight / last.class_total;
    const double settled = std::min(
        1.0, this->weight_of(this->settled_self, one.group, one.domain) /
                 self->weight);
    return {request_rate(limit.value * share * settled),
            settled < min_settled_share
                ? 0.0
                : std::max(burst * share * settled, 1.0)};
}

const limit_shares::ranking& limit_shares::rank(demand_group group,
                                                const failure_domain& domain)
{
    const auto [found, added] =
        this->rankings.try_emplace(std::pair(group, domain));
    ranking& ranked = found->second;
    if (!added)
    {
        return ranked;
    }
    for (const demanding_host& host : this->hosts)
    {
        const double weight = this->weight_of(host, group, domain);
        if (weight > 0)
        {
            ranked.push_back({weight, class_weight(weight),
                              ring_position(host.address.value),
                              host.address == this->own, 0, 0});
        }
    }
    std::ranges::sort(ranked, {},
                      [](const weighted_host& host)
                      { return std::pair(-host.class_weight, host.position); });
    double total = 0;
    double class_total = 0;
    for (weighted_host& host : ranked)
    {
        total += host.weight;
        class_total += host.class_weight;
        host.total = total;
        host.class_total = class_total;
    }
    return ranked;
}

double limit_shares::weight_of(const demanding_host& host, demand_group group,
                               const failure_domain& domain) const
{
    const host_demand demand = host.demand_for(group);
    const bool reachable = host.serves || host.address == this->own;
    const double least = reachable ? idle_weight : 0;
    if (host.domain == domain)
    {
        return std::max(rate_of(demand.local).value, least);
    }
    const std::size_t others = std::max<std::size_t>(this->domain_count - 1, 1);
    return std::max(rate_of(demand.remote).value, least) /
           static_cast<double>(others);
}

} // namespace basilpath
