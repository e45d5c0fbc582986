/// Choosing the index version that a query is pinned to.
#pragma once

#include "version/ids.hpp"

#include <memory>
#include <optional>

namespace basilpath
{

struct index_version;
struct leaf;
struct service;
struct shard;
struct system_state;

/// Tells whether a leaf has an address and is not leaving.
[[nodiscard]] bool is_live(const leaf_id& id, const system_state& state);

/// Tells whether some replica of a shard is live.
[[nodiscard]] bool has_live_replica(const shard& one,
                                    const system_state& state);

/// Returns the newest version that live replicas of every shard hold, passing
/// over `except`. When no version is whole, the newest is returned, and the
/// answer will say what is missing; null only when nothing is left.
[[nodiscard]] std::shared_ptr<const index_version>
choose_version(const service& wanted, const system_state& state,
               std::optional<version_number> except = std::nullopt);

} // namespace basilpath
