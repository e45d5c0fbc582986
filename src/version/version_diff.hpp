/// How far two index versions of a service differ in where shards are held.
#pragma once

#include <cstddef>

namespace basilpath
{

struct index_version;

/// What changes hands between two versions; all zero when nothing does.
struct version_move
{
    /// Shards of the new version whose leaves or weight differ from those of
    /// the shard with the same number, or that have no such shard; and shards
    /// of the old version that are gone.
    std::size_t changed_shards = 0;

    /// Weight of the changed shards as a share of the new version's weight.
    double changed_weight_share = 0.0;

    /// Pairs of leaf and shard that the old version does not have.
    std::size_t new_placements = 0;

    bool operator==(const version_move&) const = default;
};

/// Compares two versions shard by shard.
[[nodiscard]] version_move compare_versions(const index_version& from,
                                            const index_version& to);

} // namespace basilpath
