/// The service that a perfect dispatcher with the same capacity would give.
#pragma once

#include "load/arrival.hpp"

#include <vector>

namespace basilpath
{
struct document;
struct service;
} // namespace basilpath

namespace basilpath::load
{

struct load_plan;
struct target_speed;

/// Queries a second that the leaves of a service can run: over the shards of
/// its newest version the least sum of slots, for a look-up the sum over all
/// shards, divided by the mean service time.
[[nodiscard]] double capacity_per_second(const document& configuration,
                                         const service& wanted,
                                         const target_speed& speed);

/// Worth served over worth offered among the arrivals from `from` to `until`,
/// by a dispatcher that knows every arrival, spends each service's capacity on
/// the worthiest waiting request first, drops what passes its deadline, and
/// loses nothing to variance, hops or queues. 1 when nothing was offered.
[[nodiscard]] double oracle_service(const load_plan& plan,
                                    const document& configuration,
                                    const std::vector<arrival>& arrivals,
                                    microseconds from, microseconds until);

} // namespace basilpath::load
