/// Changes of items that a host does not follow at once.
#pragma once

#include "node/process/restored_items.hpp"
#include "node/version/decoded_item.hpp"
#include "node/version/item_cache.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// Holds the changes by which a restored store takes back what this host had
/// learned from it. They are followed only if the item is not written again in
/// the meantime. Needed because a copy of the store lacks what was written last
/// until the writers write it again.
class deferred_changes
{
public:
    /// Returns whether to follow a change now; defers it if not. `known` is
    /// what the host knows of the replica in question. See
    /// `restored_item_wait`.
    bool admit(const item_change& change, const decoded_item& item,
               const std::optional<known_replica>& known,
               milliseconds registration_timeout, instant now);

    /// Defers a change; replaces an earlier one of the same item, without a new
    /// wait.
    void add(const item_change& change, milliseconds wait, instant now);

    [[nodiscard]] bool contains(const std::string& key) const
    {
        return this->changes.contains(key);
    }

    /// Drops the change of an item that has been written again. Returns whether
    /// there was one.
    bool drop(const std::string& key);

    /// Starts all waits anew: the store was restored again, or this process was
    /// paused.
    void restart(instant now);

    /// Removes and returns the changes whose wait had ended by the time at
    /// which the view was last confirmed: a host that was paused or cut off
    /// cannot tell whether an item has been written again.
    [[nodiscard]] std::vector<item_change> take_due(instant confirmed);

    [[nodiscard]] std::size_t count() const
    {
        return this->changes.size();
    }

private:
    struct deferred_change
    {
        item_change change;
        milliseconds wait{0};
        instant due{};
    };

    std::map<std::string, deferred_change> changes;
};

} // namespace basilpath
