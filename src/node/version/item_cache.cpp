#include "node/version/item_cache.hpp"

#include "process/log.hpp"

#include <algorithm>
#include <set>

namespace basilpath
{

bool item_cache::apply(const item_update& update)
{
    if (update.after == 0)
    {
        if (update.revision < this->current)
        {
            return false;
        }
        this->replace(update);
        return true;
    }
    if (update.after > this->current || update.revision < this->current)
    {
        return false;
    }
    for (const item_change& one : update.changes)
    {
        this->change(one);
    }
    this->current = update.revision;
    return true;
}

item_update item_cache::since(store_revision after) const
{
    item_update update;
    const bool full = after == 0 || after < this->removals_from;
    update.after = full ? 0 : after;
    update.revision = this->current;
    for (const auto& [key, item] : this->items)
    {
        if (full || item.revision > after)
        {
            update.changes.push_back({key, item.value, item.revision});
        }
    }
    if (!full)
    {
        for (auto one = this->removals.upper_bound(after);
             one != this->removals.end(); ++one)
        {
            update.changes.push_back({one->second, std::nullopt, one->first});
        }
    }
    return update;
}

// Removes the items that a full update lacks, then applies its changes.
void item_cache::replace(const item_update& update)
{
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
        this->change({key, std::nullopt, update.revision});
    }
    for (const item_change& one : update.changes)
    {
        this->change(one);
    }
    this->removals.clear();
    this->removals_from = update.revision;
    this->current = update.revision;
}

// Applies one change unless the cache holds a later one of the same item.
void item_cache::change(const item_change& one)
{
    const auto found = this->items.find(one.key);
    if (!one.value)
    {
        if (found == this->items.end() || found->second.revision > one.revision)
        {
            return;
        }
        this->items.erase(found);
        this->removals.emplace(one.revision, one.key);
        if (this->removals.size() > removal_limit)
        {
            this->removals_from = this->removals.begin()->first;
            this->removals.erase(this->removals.begin());
        }
        this->on_change(one);
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
