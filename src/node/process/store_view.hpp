/// The view of the store and the time at which it was last up to date.
#pragma once

#include "node/version/item_cache.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
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

    /// Applies an update that was current at `as_of`, if that is known.
    update_result apply(const item_update& update, std::optional<instant> as_of)
    {
        const store_position before = this->items.position();
        const bool first = this->items.empty();
        const update_result result = this->items.apply(update);
        if (result != update_result::applied)
        {
            return result;
        }
        const bool restored =
            !first && before.era != this->items.position().era;
        if (restored)
        {
            ++this->restores;
        }
        if (as_of)
        {
            this->confirm(*as_of);
        }
        if (restored && this->restore_handler)
        {
            this->restore_handler();
        }
        if (this->items.position() != before && this->advance_handler &&
            (restored || !update.changes.empty()))
        {
            this->advance_handler(before);
        }
        return result;
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

    /// Returns when the view was last confirmed; empty when it never was.
    [[nodiscard]] std::optional<instant> confirmed() const
    {
        return this->confirmed_at;
    }

    [[nodiscard]] const item_cache& view() const
    {
        return this->items;
    }

    /// Number of times that the view followed a restored store.
    [[nodiscard]] std::uint64_t restore_count() const
    {
        return this->restores;
    }

    /// Sets the function to call, with the previous position, after the view
    /// has changed.
    void on_advance(std::function<void(store_position)> handler)
    {
        this->advance_handler = std::move(handler);
    }

    /// Sets the function to call after the view has followed a restored store.
    void on_restore(std::function<void()> handler)
    {
        this->restore_handler = std::move(handler);
    }

private:
    item_cache items;
    std::optional<instant> confirmed_at;
    std::function<void(store_position)> advance_handler;
    std::function<void()> restore_handler;
    std::uint64_t restores = 0;
};

} // namespace basilpath
