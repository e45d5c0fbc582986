/// Decides whether a host follows an item of a restored store at once.
#pragma once

#include "node/version/decoded_item.hpp"
#include "node/version/replica.hpp"
#include "version/ids.hpp"

#include <optional>

namespace basilpath
{

/// What a host last learned of a replica's registration.
struct known_replica
{
    replica last;

    /// Whether it is registered.
    bool listed = false;
};

/// Returns for how long a host does not follow an item of a restored store;
/// nothing when it follows at once. A copy of the store may lack a registration
/// or hold an earlier one than the host has seen. `known` is what the host
/// knows of the replica in question. A replica that has not renewed its
/// registration for `registration_timeout` is removed by the store.
[[nodiscard]] std::optional<milliseconds>
restored_item_wait(const decoded_item& item,
                   const std::optional<known_replica>& known,
                   milliseconds registration_timeout);

/// Returns the replica that an item is about; nothing for other items.
[[nodiscard]] std::optional<leaf_id> replica_of(const decoded_item& item);

} // namespace basilpath
