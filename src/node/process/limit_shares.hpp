/// Divides the limits that replicas name among the hosts.
#pragma once

#include "node/process/host_demand.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace basilpath
{

/// A host and its demand for the services of some groups.
struct demanding_host
{
    peer_address address;
    failure_domain domain;
    std::vector<host_demand> demands;

    /// Whether callers are directed to it.
    bool serves = false;

    /// Returns the demand for a group, zero when there is none.
    [[nodiscard]] host_demand demand_for(demand_group group) const;
};

/// Adds hosts without an address until there are `min_hosts`. Needed while a
/// host has not discovered the others yet.
void add_unknown_hosts(std::vector<demanding_host>& hosts,
                       std::size_t min_hosts);

/// Gives the serving hosts that announce no demand for a group the demand of
/// the first host. Needed while hosts have not announced their demand yet.
void assume_equal_demand(std::vector<demanding_host>& hosts,
                         demand_group group);

/// What all hosts together may send at once beyond a limit: the requests of
/// some seconds, and a number of requests. The defaults are for the limits that
/// replicas name: a part of what they accept, as hosts disagree for a moment on
/// who shares a limit.
struct request_burst
{
    double seconds = 1.0;
    double requests = 4.0;
};

/// A replica and the limit on its requests.
struct limited_replica
{
    leaf_id id;
    failure_domain domain;
    demand_group group;
    request_rate limit;
    request_burst burst{};
};

/// This host's part of a limit.
struct limit_share
{
    request_rate rate;

    /// Requests that may be sent at once; none when less than one.
    double depth = 0;
};

/// Returns the share within two limits on the same replica.
[[nodiscard]] inline limit_share within_both(const limit_share& one,
                                             const limit_share& other)
{
    return {std::min(one.rate, other.rate), std::min(one.depth, other.depth)};
}

/// Divides each limit in proportion to the hosts' demand. Every host computes
/// the same division from the demand that hosts announce, so that the
/// sum over all hosts stays within the limit without any agreement. Where a
/// limit is too low for every host to have a whole request at a time, the hosts
/// with the most demand share it, among similar ones those next on a hash ring.
/// Needed when hosts call a replica at different rates: an equal division
/// leaves most of the limit unused.
class limit_shares
{
public:
    explicit limit_shares(peer_address own) : own(std::move(own)) {}

    /// Sets the hosts that share the limits with the demands that they
    /// announce, this one included; the part of this host's demand that has
    /// reached the others; and the number of failure domains over which remote
    /// demand is spread.
    void set_hosts(std::vector<demanding_host> hosts,
                   std::vector<host_demand> settled, std::size_t domains);

    /// Returns this host's share of the limit of a replica.
    [[nodiscard]] limit_share share_of(const limited_replica& one);

private:
    /// A host's weight in the division of a limit.
    struct weighted_host
    {
        double weight = 0;

        /// The weight in powers of four: hosts of one class are treated alike
        /// where a limit is too low for all of them.
        double class_weight = 0;

        /// Place on the ring on which the hosts of a class are ordered.
        std::uint64_t position = 0;

        bool own = false;

        /// Sums of the weights up to and including these.
        double total = 0;
        double class_total = 0;
    };

    /// Hosts by descending class, those of a class by their place on the ring.
    using ranking = std::vector<weighted_host>;

    [[nodiscard]] const ranking& rank(demand_group group,
                                      const failure_domain& domain);
    [[nodiscard]] double weight_of(const demanding_host& host,
                                   demand_group group,
                                   const failure_domain& domain) const;

    peer_address own;
    std::vector<demanding_host> hosts;

    /// This host with its settled demand.
    demanding_host settled_self;
    std::size_t domain_count = 1;

    /// Computed when first needed.
    std::map<std::pair<demand_group, failure_domain>, ranking> rankings;
};

} // namespace basilpath
