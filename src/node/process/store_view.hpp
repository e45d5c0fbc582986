/// The view of the store with the time at which it was last known to be whole.
#pragma once

#include "node/version/item_cache.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <utility>

namespace basilpath
{

/// Brought up to date by the reader of the store and by other hosts; tells the
/// exchange with other hosts when it has moved on.
class store_view
{
public:
    explicit store_view(item_cache::listener on_change)
        : items(std::move(on_change))
    {
    }

    /// Applies an update that held at `as_of`, if that is known.
    bool apply(const item_update& update, std::optional<instant> as_of)
    {
        const store_revision before = this->items.revision();
        if (!this->items.apply(update))
        {
            return false;
        }
        if (as_of)
        {
            this->confirm(*as_of);
        }
        if (this->items.revision() != before && this->on_moved &&
            !update.changes.empty())
        {
            this->on_moved(before);
        }
        return true;
    }

    /// The view was whole at this time.
    void confirm(instant as_of)
    {
        this->confirmed = std::max(this->confirmed.value_or(as_of), as_of);
    }

    /// How long ago the view was known to be whole; nothing when never.
    [[nodiscard]] std::optional<milliseconds> age(instant now) const
    {
        if (!this->confirmed)
        {
            return std::nullopt;
        }
        return std::chrono::duration_cast<milliseconds>(now - *this->confirmed);
    }

    [[nodiscard]] const item_cache& view() const
    {
        return this->items;
    }

    /// Called with the revision before, after the view has changed.
    void on_move(std::function<void(store_revision)> told)
    {
        this->on_moved = std::move(told);
    }

private:
    item_cache items;
    std::optional<instant> confirmed;
    std::function<void(store_revision)> on_moved;
};

} // namespace basilpath
