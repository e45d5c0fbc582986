#include "node/process/deferred_changes.hpp"

#include "process/log.hpp"

#include <ranges>
#include <utility>
#include <variant>

namespace basilpath
{

namespace
{

// Beyond this number, deferred changes are counted but not logged.
constexpr std::size_t max_logged = 64;

} // namespace

bool deferred_changes::admit(const item_change& change,
                             const decoded_item& item,
                             const std::optional<known_replica>& known,
                             milliseconds registration_timeout, instant now)
{
    // Registrations that the store lost may be repeated in their old order.
    const bool repeated =
        std::holds_alternative<replica>(item) && this->contains(change.key);
    const auto wait =
        change.restored || repeated
            ? restored_item_wait(item, known, registration_timeout)
            : std::nullopt;
    if (wait)
    {
        if (this->count() < max_logged)
        {
            log_event(log_level::info, "change_deferred",
                      {{"key", change.key},
                       {"removed", !change.value},
                       {"era", change.era.value},
                       {"wait_ms", wait->count()}});
        }
        this->add(change, *wait, now);
        return false;
    }
    if (!std::holds_alternative<unusable_item>(item))
    {
        this->drop(change.key);
    }
    return true;
}

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
