/// One version of a service's index: its shards and their weights.
#pragma once

#include "version/shard.hpp"

#include <vector>

namespace basilpath
{

/// Sessions hold a version by shared ownership until they end, so that a
/// version that has left the document lives as long as its last query.
struct index_version
{
    service_name service;
    version_number number;

    /// Sorted by number; shard `i` has number `i`.
    std::vector<shard> shards;

    /// Sum of the weights of all shards.
    double total_weight = 0.0;
};

} // namespace basilpath
