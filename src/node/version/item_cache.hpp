/// A local cache of the items in the platform's store.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// Revision number of the store; larger is newer.
using store_revision = std::uint64_t;

/// A write of an item, or its removal when it has no value.
struct item_change
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision = 0;
};

/// Changes that bring a cache up to a revision.
struct item_update
{
    /// The cache must be at this revision or later; zero replaces all items.
    store_revision after = 0;
    store_revision revision = 0;
    std::vector<item_change> changes;
};

/// A cache of the store's items whose revision never decreases. Updates come
/// from the store or from the cache of another host.
class item_cache
{
public:
    /// Called with each change of an item.
    using listener = std::function<void(const item_change&)>;

    explicit item_cache(listener on_change) : on_change(std::move(on_change)) {}

    /// Applies an update. Returns false when it is older than the cache or
    /// leaves a gap after the cache's revision.
    bool apply(const item_update& update);

    /// Returns the changes since a revision, or all items when the removals
    /// since then are no longer kept.
    [[nodiscard]] item_update since(store_revision after) const;

    [[nodiscard]] store_revision revision() const
    {
        return this->current;
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
    void change(const item_change& one);

    listener on_change;
    std::map<std::string, cached_item> items;
    std::map<store_revision, std::string> removals;

    /// All removals after this revision are kept.
    store_revision removals_from = 0;

    store_revision current = 0;
};

} // namespace basilpath
