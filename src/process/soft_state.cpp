#include "process/soft_state.hpp"

#include "version/value_sections.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

// An entry that is held is news only when it gains this much, so that the
// delays of the network do not keep it going round.
constexpr std::chrono::milliseconds least_gain = 1s;
constexpr std::chrono::milliseconds longest_time = 1h;

// The end of an entry that has so much time left.
soft_state::time_point end_of(std::uint32_t remaining_ms,
                              soft_state::time_point now)
{
    return now + std::min<std::chrono::milliseconds>(
                     std::chrono::milliseconds(remaining_ms), longest_time);
}

// The time that an entry has left.
std::uint32_t remaining_of(soft_state::time_point end,
                           soft_state::time_point now)
{
    return static_cast<std::uint32_t>(std::max(end - now, 0ms).count());
}

} // namespace

std::optional<wire::Soft> soft_state::merge(const wire::Soft& told,
                                            time_point now)
{
    wire::Soft news;
    this->merge_quarantines(told, now, news);
    this->merge_marks(told, now, news);
    if (news.quarantines().empty() && news.host_marks().empty() &&
        news.leaf_marks().empty())
    {
        return std::nullopt;
    }
    return news;
}

bool soft_state::expire(time_point now)
{
    const std::size_t before = this->size();
    const auto ended = [now](const auto& entry)
    {
        return entry.second <= now;
    };
    std::erase_if(this->quarantines,
                  [now](const auto& entry) { return entry.second.end <= now; });
    std::erase_if(this->hosts, ended);
    std::erase_if(this->leaves, ended);
    return this->size() != before;
}

wire::Soft soft_state::all(time_point now) const
{
    wire::Soft message;
    for (const auto& [print, entry] : this->quarantines)
    {
        wire::Quarantine& one = *message.add_quarantines();
        one.set_fingerprint(print);
        one.set_remaining_ms(remaining_of(entry.end, now));
        one.mutable_leaves()->Assign(entry.leaves.begin(), entry.leaves.end());
    }
    const auto add = [now](auto& list, const marks& held)
    {
        for (const auto& [name, end] : held)
        {
            wire::LeavingMark& one = *list.Add();
            one.set_name(name);
            one.set_remaining_ms(remaining_of(end, now));
        }
    };
    add(*message.mutable_host_marks(), this->hosts);
    add(*message.mutable_leaf_marks(), this->leaves);
    return message;
}

std::uint64_t soft_state::digest() const
{
    std::string names;
    for (const auto& [print, entry] : this->quarantines)
    {
        names += fmt::format("q{:x} ", print);
    }
    for (const auto& [name, end] : this->hosts)
    {
        names += fmt::format("h{} ", name);
    }
    for (const auto& [name, end] : this->leaves)
    {
        names += fmt::format("l{} ", name);
    }
    return names.empty() ? 0 : content_digest(names);
}

void soft_state::describe(wire::State& state, time_point now) const
{
    wire::Soft held = this->all(now);
    state.mutable_quarantines()->Swap(held.mutable_quarantines());
    for (const auto& [name, end] : this->hosts)
    {
        state.add_leaving_hosts(name);
    }
    for (const auto& [name, end] : this->leaves)
    {
        state.add_leaving_leaves(name);
    }
}

std::set<host_id> soft_state::leaving_hosts() const
{
    std::set<host_id> ids;
    for (const auto& [name, end] : this->hosts)
    {
        ids.emplace(name);
    }
    return ids;
}

std::size_t soft_state::size() const
{
    return this->quarantines.size() + this->hosts.size() + this->leaves.size();
}

// Makes a mark last until `end` when that is news and there is room.
bool soft_state::extend(marks& held, const std::string& name, time_point end)
{
    const auto found = held.find(name);
    if (found == held.end() ? this->size() >= entry_limit
                            : end - found->second < least_gain)
    {
        return false;
    }
    held[name] = end;
    return true;
}

void soft_state::merge_quarantines(const wire::Soft& told, time_point now,
                                   wire::Soft& news)
{
    for (const wire::Quarantine& one : told.quarantines())
    {
        const time_point end = end_of(one.remaining_ms(), now);
        const auto found = this->quarantines.find(one.fingerprint());
        if (end <= now || (found == this->quarantines.end()
                               ? this->size() >= entry_limit
                               : end - found->second.end < least_gain))
        {
            continue;
        }
        this->quarantines[one.fingerprint()] = {
            end, {one.leaves().begin(), one.leaves().end()}};
        *news.add_quarantines() = one;
    }
}

void soft_state::merge_marks(const wire::Soft& told, time_point now,
                             wire::Soft& news)
{
    const auto take = [&](marks& held, const std::string& name,
                          std::uint32_t remaining_ms, auto& list)
    {
        const time_point end = end_of(remaining_ms, now);
        if (end > now && this->extend(held, name, end))
        {
            wire::LeavingMark& one = *list.Add();
            one.set_name(name);
            one.set_remaining_ms(remaining_ms);
        }
    };
    constexpr auto full = static_cast<std::uint32_t>(mark_time.count());
    auto& host_news = *news.mutable_host_marks();
    auto& leaf_news = *news.mutable_leaf_marks();
    for (const std::string& name : told.leaving_hosts())
    {
        take(this->hosts, name, full, host_news);
    }
    for (const std::string& name : told.leaving_leaves())
    {
        take(this->leaves, name, full, leaf_news);
    }
    for (const wire::LeavingMark& one : told.host_marks())
    {
        take(this->hosts, one.name(), one.remaining_ms(), host_news);
    }
    for (const wire::LeavingMark& one : told.leaf_marks())
    {
        take(this->leaves, one.name(), one.remaining_ms(), leaf_news);
    }
}

} // namespace basilpath
