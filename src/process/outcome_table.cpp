#include "process/outcome_table.hpp"

#include <utility>

namespace basilpath
{

outcome_table::outcome_table(std::size_t limit) : limit(limit) {}

key_state outcome_table::start(const std::string& key, fingerprint print,
                               microseconds good_until, microseconds keep_until,
                               microseconds now)
{
    this->forget_old(now);
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
    {
        if (found->second.print != print)
        {
            return key_state::other_body;
        }
        this->keep(key, found->second, keep_until);
        return found->second.outcome ? key_state::finished
                                     : key_state::in_progress;
    }
    if (now >= good_until)
    {
        return key_state::expired;
    }
    if (this->entries.size() >= this->limit)
    {
        return key_state::full;
    }
    entry fresh;
    fresh.print = print;
    this->keep(key, fresh, keep_until);
    this->entries.emplace(key, std::move(fresh));
    return key_state::started;
}

const query_answer* outcome_table::outcome(const std::string& key) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || !found->second.outcome.has_value())
    {
        return nullptr;
    }
    return &found->second.outcome.value();
}

void outcome_table::wait(const std::string& key, std::function<void()> action)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end())
    {
        found->second.waiters.push_back(std::move(action));
    }
}

void outcome_table::finish(const std::string& key, query_answer outcome)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
    {
        return;
    }
    found->second.outcome = std::move(outcome);
    for (const auto& action : std::exchange(found->second.waiters, {}))
    {
        action();
    }
}

void outcome_table::withdraw(const std::string& key)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
    {
        return;
    }
    const auto waiters = std::move(found->second.waiters);
    this->entries.erase(found);
    for (const auto& action : waiters)
    {
        action();
    }
}

std::size_t outcome_table::size() const
{
    return this->entries.size();
}

// Keeps a key at least until the time given.
void outcome_table::keep(const std::string& key, entry& kept,
                         microseconds until)
{
    if (until > kept.keep_until)
    {
        kept.keep_until = until;
        this->expiries.push_back({until, key});
    }
}

// Drops the keys whose time to keep has passed. The expiries stand nearly in
// order, as tokens are all good for the same time; one that stands behind a
// later one is kept a little longer. An expiry that its key has outlived does
// nothing.
void outcome_table::forget_old(microseconds now)
{
    while (!this->expiries.empty() && this->expiries.front().at <= now)
    {
        const auto found = this->entries.find(this->expiries.front().key);
        if (found != this->entries.end() && found->second.keep_until <= now)
        {
            this->entries.erase(found);
        }
        this->expiries.pop_front();
    }
}

} // namespace basilpath
