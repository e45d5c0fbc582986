/// A shard: one part of an index version and the leaves that hold it.
#pragma once

#include "version/ids.hpp"

#include <vector>

namespace basilpath
{

/// One line of a `[shards SERVICE/VERSION]` section of a document.
struct shard
{
    shard_number number;

    /// Share of the corpus relative to the other shards of the version.
    double weight = 1.0;

    /// Replicas, in the order of the document.
    std::vector<leaf_id> leaves;
};

} // namespace basilpath
