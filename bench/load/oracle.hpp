/// The worth that an ideal dispatcher with the same capacity would serve.
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

/// Queries per second that the leaves of a service can run: slots divided by
/// the mean service time. Counts the slots of the newest version: those of the
/// shard with the fewest for a fan-out, those of all shards for a look-up.
[[nodiscard]] double capacity_per_second(const document& configuration,
                                         const service& wanted,
                                         const target_speed& speed);

/// Ratio of worth served to worth offered among the arrivals from `from` to
/// `until` under an ideal dispatcher. It sees every arrival, serves the waiting
/// request of highest worth first, drops requests past their deadline, and
/// loses nothing to variance, hops or queues. 1 if nothing was offered.
[[nodiscard]] double oracle_service(const load_plan& plan,
                                    const document& configuration,
                                    const std::vector<arrival>& arrivals,
                                    microseconds from, microseconds until);

} // namespace basilpath::load
