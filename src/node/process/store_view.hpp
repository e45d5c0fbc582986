/// The view of the store and the time at which it was last up to date.
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

/// Holds the view. The reader of the store and other hosts update it; a
/// callback announces each new revision to the exchange with other hosts.
class store_view
{
public:
    explicit store_view(item_cache::listener on_change)
        : items(std::move(on_change))
    {
    }

    /// Applies an update that was current at `as_of`, if that is known. Returns
    /// false when the update does not continue the view or is older.
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
        if (this->items.revision() != before && this->advance_handler &&
            !update.changes.empty())
        {
            this->advance_handler(before);
        }
        return true;
    }

    /// Records that the view was up to date at this time.
    void confirm(instant as_of)
    {
        this->confirmed_at =
            std::max(this->confirmed_at.value_or(as_of), as_of);
    }

    /// Time since the view was last confirmed to be up to date; empty when it
    /// never was.
    [[nodiscard]] std::optional<milliseconds> age(instant now) const
    {
        if (!this->confirmed_at)
        {
            return std::nullopt;
        }
        return std::chrono::duration_cast<milliseconds>(now -
                                                        *this->confirmed_at);
    }

    [[nodiscard]] const item_cache& view() const
    {
        return this->items;
    }

    /// Sets the function to call, with the previous revision, after the view
    /// has changed.
    void on_advance(std::function<void(store_revision)> handler)
    {
        this->advance_handler = std::move(handler);
    }

private:
    item_cache items;
    std::optional<instant> confirmed_at;
    std::function<void(store_revision)> advance_handler;
};

} // namespace basilpath
