/// How much a host calls the replicas of services, as hosts announce it.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <string_view>

namespace basilpath
{

/// Services that are called at the same rate: the shards of one query, or a
/// service by itself. A hash of the first service's name.
using demand_group = strong<std::uint32_t, struct demand_group_tag>;

/// Returns the group whose first service has this name.
[[nodiscard]] demand_group demand_group_of(std::string_view first_service);

/// A rate of calls on a logarithmic scale: zero for none, one for any rate up
/// to one call a second, two more for each doubling.
using demand_level = std::uint8_t;

/// Returns the level of a rate.
[[nodiscard]] double exact_level(request_rate rate);

/// Returns the rate of a level.
[[nodiscard]] request_rate rate_of(demand_level level);

/// The demand of one host for the services of one group.
struct host_demand
{
    demand_group group;

    /// Calls to replicas in the host's own failure domain.
    demand_level local = 0;

    /// Calls to replicas in all other failure domains.
    demand_level remote = 0;

    [[nodiscard]] bool none() const
    {
        return this->local == 0 && this->remote == 0;
    }

    bool operator==(const host_demand&) const = default;
};

} // namespace basilpath
