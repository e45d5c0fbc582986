#include "node/process/deferred_changes.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace basilpath
{

void deferred_changes::add(const item_change& change, milliseconds wait,
                           instant now)
{
    const auto [found, added] = this->changes.try_emplace(
        change.key, deferred_change{change, wait, now + wait});
    if (!added)
    {
        found->second.change = change;
    }
}

bool deferred_changes::drop(const std::string& key)
{
    return this->changes.erase(key) > 0;
}

void deferred_changes::restart(instant now)
{
    for (deferred_change& one : this->changes | std::views::values)
    {
        one.due = now + one.wait;
    }
}

std::vector<item_change> deferred_changes::take_due(instant confirmed)
{
    std::vector<item_change> due;
    std::erase_if(this->changes,
                  [&due, confirmed](auto& one)
                  {
                      const bool ended = confirmed >= one.second.due;
                      if (ended)
                      {
                          due.push_back(std::move(one.second.change));
                      }
                      return ended;
                  });
    return due;
}

} // namespace basilpath
