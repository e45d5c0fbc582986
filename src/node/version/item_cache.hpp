/// A local cache of the items in the platform's store.
#pragma once

#include "node/version/store_position.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basilpath
{

/// A write of an item, or its removal when it has no value.
struct item_change
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision = 0;

    /// The era of the revision; that of the update while in one.
    store_era era{};

    /// Whether the change follows from the store's return from a copy: its
    /// value may be older than the one before.
    bool restored = false;

    [[nodiscard]] store_position position() const
    {
        return {this->era, this->revision};
    }
};

/// Changes that bring a cache up to a position in the store's history.
struct item_update
{
    /// The cache must be at this revision of the era or later; zero replaces
    /// all items.
    store_revision after = 0;
    store_revision revision = 0;
    std::vector<item_change> changes;
    store_era era{};

    [[nodiscard]] store_position position() const
    {
        return {this->era, this->revision};
    }
};

/// How a cache took an update.
enum class update_result : std::uint8_t
{
    applied,
    outdated, ///< the cache is at a later position of the same era
    gap,      ///< the update does not continue the cache's position
    past_era  ///< the store has come back from a copy since
};

[[nodiscard]] std::string_view to_string(update_result result);

/// A cache of the store's items whose position never goes back. Updates come
/// from the store or from the cache of another host.
class item_cache
{
public:
    /// Called with each change of an item.
    using listener = std::function<void(const item_change&)>;

    explicit item_cache(listener on_change) : on_change(std::move(on_change)) {}

    /// Applies an update that continues the cache. The first one of a new era
    /// must contain all items.
    update_result apply(const item_update& update);

    /// Returns the changes since a position, or all items when the position is
    /// of another era or the removals since then are no longer kept.
    [[nodiscard]] item_update since(store_position after) const;

    [[nodiscard]] store_position position() const
    {
        return this->current;
    }

    /// Returns whether the cache has had no update yet.
    [[nodiscard]] bool empty() const
    {
        return this->current.revision == 0;
    }

    /// Most removals that are kept, so that short gaps need no full update.
    static constexpr std::size_t removal_limit = 2'000;

private:
    /// A value with the revision of its last change.
    struct cached_item
    {
        std::string value;
        store_revision revision = 0;
    };

    void replace(const item_update& update);
    void change(item_change one);

    listener on_change;
    std::map<std::string, cached_item> items;
    std::set<std::pair<store_revision, std::string>> removals;

    /// All removals after this revision are kept.
    store_revision removals_from = 0;

    store_position current;
};

} // namespace basilpath
