#include "version/version_choice.hpp"

#include "process/system_state.hpp"
#include "version/index_version.hpp"
#include "version/service.hpp"

#include <algorithm>
#include <ranges>

namespace basilpath
{

bool is_live(const leaf_id& id, const system_state& state)
{
    if (!state.targets || state.leaving_leaves.contains(id))
    {
        return false;
    }
    const auto found = state.targets->entries.find(id);
    return found != state.targets->entries.end() && !found->second.leaving;
}

bool has_live_replica(const shard& one, const system_state& state)
{
    return std::ranges::any_of(one.leaves, [&state](const leaf_id& id)
                               { return is_live(id, state); });
}

std::shared_ptr<const index_version>
choose_version(const service& wanted, const system_state& state,
               std::optional<version_number> except)
{
    const auto allowed = [&except](const auto& version)
    {
        return version->number != except;
    };
    const auto whole = [&](const auto& version)
    {
        return allowed(version) &&
               std::ranges::all_of(version->shards, [&](const shard& one)
                                   { return has_live_replica(one, state); });
    };
    auto found = std::ranges::find_if(wanted.versions, whole);
    if (found == wanted.versions.end())
    {
        found = std::ranges::find_if(wanted.versions, allowed);
    }
    return found == wanted.versions.end() ? nullptr : *found;
}

} // namespace basilpath
