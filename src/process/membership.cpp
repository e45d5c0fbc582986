#include "process/membership.hpp"

#include "version/value_sections.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::uint32_t wire_live = 0;
constexpr std::uint32_t wire_dead = 1;

// Bucket in which a member is compared.
std::size_t bucket_of(const host_id& id)
{
    return content_digest(id.value) % membership::bucket_count;
}

// Digest of one description; zero for the default one, so that a member that
// nothing is known of counts for nothing.
std::uint64_t entry_digest(const host_id& id, const member_entry& entry)
{
    if (entry == member_entry())
    {
        return 0;
    }
    return content_digest(fmt::format("{} {} {} {}", id.value, entry.counter,
                                      entry.dead, entry.start.value));
}

} // namespace

membership::membership(host_id own, incarnation start) : own_id(std::move(own))
{
    this->store(this->own_id, {0, false, start});
}

void membership::set_members(const std::set<host_id>& members)
{
    std::vector<host_id> gone;
    for (const auto& [id, entry] : this->entries)
    {
        if (id != this->own_id && !members.contains(id))
        {
            gone.push_back(id);
        }
    }
    for (const host_id& id : gone)
    {
        this->store(id, member_entry());
        this->entries.erase(id);
    }
    for (const host_id& id : members)
    {
        this->entries.try_emplace(id);
    }
}

merge_outcome membership::merge(const wire::Member& told)
{
    const host_id id(told.host());
    const member_entry offered{told.counter(), told.state() == wire_dead,
                               incarnation(told.incarnation())};
    const auto found = this->entries.find(id);
    if (found == this->entries.end())
    {
        return merge_outcome::unknown;
    }
    if (offered == found->second)
    {
        return merge_outcome::same;
    }
    if (id == this->own_id)
    {
        return this->refute(offered);
    }
    if (offered < found->second)
    {
        return merge_outcome::older;
    }
    this->store(id, offered);
    return merge_outcome::news;
}

// Answers a description of this host that is not its own: nobody else raises
// its counter, so the own one has to be the largest.
merge_outcome membership::refute(const member_entry& told)
{
    member_entry own = this->entries.at(this->own_id);
    if (told < own)
    {
        return merge_outcome::older;
    }
    own.counter = told.counter + 1;
    this->store(this->own_id, own);
    return merge_outcome::news;
}

bool membership::declare_dead(const host_id& id)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end() || found->second.dead ||
        id == this->own_id)
    {
        return false;
    }
    member_entry entry = found->second;
    entry.dead = true;
    this->store(id, entry);
    return true;
}

bool membership::is_dead(const host_id& id) const
{
    return this->dead_ids.contains(id);
}

const std::set<host_id>& membership::dead() const
{
    return this->dead_ids;
}

wire::Member membership::describe(const host_id& id) const
{
    const auto found = this->entries.find(id);
    const member_entry entry =
        found == this->entries.end() ? member_entry() : found->second;
    wire::Member member;
    member.set_host(id.value);
    member.set_counter(entry.counter);
    member.set_state(entry.dead ? wire_dead : wire_live);
    member.set_incarnation(entry.start.value);
    return member;
}

const membership::bucket_digests& membership::digests() const
{
    return this->bucket_values;
}

std::vector<wire::Member> membership::bucket(std::size_t index) const
{
    std::vector<wire::Member> members;
    for (const auto& [id, entry] : this->entries)
    {
        if (entry != member_entry() && bucket_of(id) == index)
        {
            members.push_back(this->describe(id));
        }
    }
    return members;
}

const host_id& membership::own() const
{
    return this->own_id;
}

// Replaces a description and keeps the set of the dead and the digests right.
void membership::store(const host_id& id, const member_entry& entry)
{
    member_entry& slot = this->entries[id];
    std::uint64_t& digest = this->bucket_values[bucket_of(id)];
    digest ^= entry_digest(id, slot) ^ entry_digest(id, entry);
    slot = entry;
    if (entry.dead)
    {
        this->dead_ids.insert(id);
    }
    else
    {
        this->dead_ids.erase(id);
    }
    assert(!this->dead_ids.contains(this->own_id));
}

} // namespace basilpath
