/// What the platform's store holds, as far as this process knows.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// Counts the changes of the store; larger is newer.
using store_revision = std::uint64_t;

/// An item as written, or its removal when it has no value.
struct item_change
{
    std::string key;
    std::optional<std::string> value;
    store_revision revision = 0;
};

/// Changes that bring a view up to a revision.
struct item_update
{
    /// The view must stand at this revision or later; zero replaces the view.
    store_revision after = 0;
    store_revision revision = 0;
    std::vector<item_change> changes;
};

/// A replica of the store's items that only moves forward. It is brought up to
/// date from the store or from the view of another host.
class item_cache
{
public:
    /// Told of each item that changed.
    using listener = std::function<void(const item_change&)>;

    explicit item_cache(listener on_change) : on_change(std::move(on_change)) {}

    /// Applies an update that is newer than the view. False when it does not
    /// join up with the view or is older.
    bool apply(const item_update& update);

    /// The changes since a revision, or the whole view when the removals since
    /// then are not known any more.
    [[nodiscard]] item_update since(store_revision after) const;

    [[nodiscard]] store_revision revision() const
    {
        return this->current;
    }

    /// Removals that are remembered, so that short gaps need no whole view.
    static constexpr std::size_t removal_limit = 2'000;

private:
    /// A value with the revision of its last change.
    struct held_item
    {
        std::string value;
        store_revision revision = 0;
    };

    void replace(const item_update& update);
    void change(const item_change& one);

    listener on_change;
    std::map<std::string, held_item> items;
    std::map<store_revision, std::string> removals;

    /// Removals after this revision are all remembered.
    store_revision removals_from = 0;

    store_revision current = 0;
};

} // namespace basilpath
