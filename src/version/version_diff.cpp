#include "version/version_diff.hpp"

#include "version/index_version.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Counts the leaves of a shard that did not hold it before.
std::size_t count_new_leaves(const shard& now, const shard* old)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        now.leaves,
        [old](const leaf_id& id)
        {
            return old == nullptr ||
                   std::ranges::find(old->leaves, id) == old->leaves.end();
        }));
}

} // namespace

version_move compare_versions(const index_version& from,
                              const index_version& to)
{
    version_move move;
    double changed_weight = 0.0;
    for (const shard& now : to.shards)
    {
        const std::size_t index = now.number.value;
        const shard* const old =
            index < from.shards.size() ? &from.shards[index] : nullptr;
        if (old == nullptr || old->leaves != now.leaves ||
            old->weight != now.weight)
        {
            ++move.changed_shards;
            changed_weight += now.weight;
            move.new_placements += count_new_leaves(now, old);
        }
    }
    if (from.shards.size() > to.shards.size())
    {
        move.changed_shards += from.shards.size() - to.shards.size();
    }
    move.changed_weight_share = changed_weight / to.total_weight;
    return move;
}

} // namespace basilpath
