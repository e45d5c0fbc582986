#include "node/version/item_cache.hpp"

#include "process/log.hpp"

#include <array>
#include <ranges>
#include <set>
#include <utility>

namespace basilpath
{

std::string_view to_string(update_result result)
{
    constexpr std::array<std::string_view, 4> names = {"applied", "outdated",
                                                       "gap", "past_era"};
    return names.at(static_cast<std::size_t>(result));
}

update_result item_cache::apply(const item_update& update)
{
    const store_position offered = update.position();
    if (offered.era < this->current.era)
    {
        return update_result::past_era;
    }
    if (update.after == 0)
    {
        if (offered < this->current)
        {
            return update_result::outdated;
        }
        this->replace(update);
        return update_result::applied;
    }
    if (offered.era != this->current.era ||
        update.after > this->current.revision)
    {
        return update_result::gap;
    }
    if (offered < this->current)
    {
        return update_result::outdated;
    }
    for (const item_change& one : update.changes)
    {
        // Another host may have sent the first changes already.
        if (one.revision > this->current.revision)
        {
            this->change(
                {one.key, one.value, one.revision, this->current.era, false});
        }
    }
    this->current = offered;
    return update_result::applied;
}

item_update item_cache::since(store_position after) const
{
    item_update update;
    const bool full = after.revision == 0 || after.era != this->current.era ||
                      after.revision < this->removals_from;
    update.after = full ? 0 : after.revision;
    update.revision = this->current.revision;
    update.era = this->current.era;
    for (const auto& [key, item] : this->items)
    {
        if (full || item.revision > after.revision)
        {
            update.changes.push_back(
                {key, item.value, item.revision, this->current.era});
        }
    }
    if (!full)
    {
        for (auto one = this->removals.lower_bound({after.revision + 1, {}});
             one != this->removals.end(); ++one)
        {
            update.changes.push_back(
                {one->second, std::nullopt, one->first, this->current.era});
        }
    }
    return update;
}

// Removes the items that a full update lacks, then applies its changes.
void item_cache::replace(const item_update& update)
{
    const bool restored = !this->empty() && update.era != this->current.era;
    if (restored)
    {
        // Revisions of different eras cannot be compared: those of the new era
        // replace all.
        for (cached_item& one : this->items | std::views::values)
        {
            one.revision = 0;
        }
    }
    std::set<std::string> updated;
    for (const item_change& one : update.changes)
    {
        updated.insert(one.key);
    }
    std::vector<std::string> removed;
    for (const auto& [key, item] : this->items)
    {
        if (!updated.contains(key))
        {
            removed.push_back(key);
        }
    }
    for (const std::string& key : removed)
    {
        this->change(
            {key, std::nullopt, update.revision, update.era, restored});
    }
    for (const item_change& one : update.changes)
    {
        this->change({one.key, one.value, one.revision, update.era, restored});
    }
    if (restored)
    {
        log_event(log_level::warning, "store_restored",
                  {{"era", update.era.value},
                   {"revision", update.revision},
                   {"held_era", this->current.era.value},
                   {"held_revision", this->current.revision},
                   {"items", updated.size()},
                   {"missing", removed.size()}});
    }
    this->removals.clear();
    this->removals_from = update.revision;
    this->current = update.position();
}

// Applies one change unless the cache holds a later one of the same item.
void item_cache::change(item_change one)
{
    const auto found = this->items.find(one.key);
    if (!one.value)
    {
        const bool held = found != this->items.end();
        if (held && found->second.revision > one.revision)
        {
            return;
        }
        // Another host may hold the item though this one does not: the pages of
        // a full read differ.
        this->removals.emplace(one.revision, one.key);
        if (this->removals.size() > removal_limit)
        {
            this->removals_from = this->removals.begin()->first;
            this->removals.erase(this->removals.begin());
        }
        if (held)
        {
            this->items.erase(found);
            this->on_change(one);
        }
        return;
    }
    if (found != this->items.end())
    {
        if (found->second.revision >= one.revision)
        {
            if (found->second.value != *one.value)
            {
                log_event(log_level::info, "item_change_ignored",
                          {{"key", one.key},
                           {"revision", one.revision},
                           {"held", found->second.revision}});
            }
            return;
        }
        const bool same = found->second.value == *one.value;
        found->second = {*one.value, one.revision};
        if (same)
        {
            return;
        }
    }
    else
    {
        this->items.emplace(one.key, cached_item{*one.value, one.revision});
    }
    this->on_change(one);
}

} // namespace basilpath
