#include "process/gossip_state.hpp"

#include "version/host_list.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::size_t news_kept = 8192;
constexpr std::size_t buckets_answered = 2;

} // namespace

gossip_state::gossip_state(host_id own, incarnation start)
    : members(own, start), ring(std::move(own))
{
}

wire::Digest gossip_state::digest() const
{
    wire::Digest message;
    message.set_host(this->members.own().value);
    message.set_ready(this->ready);
    message.set_soft_digest(this->soft.digest());
    for (const auto& [name, value] : this->values.all())
    {
        wire::ValueDigest& one = *message.add_values();
        one.set_name(name);
        one.set_number(value->number);
        one.set_digest(value->digest);
    }
    *message.add_members() = this->members.describe(this->members.own());
    return message;
}

std::vector<host_id> gossip_state::merge_members(const wire::Digest& told,
                                                 const host_id& from)
{
    std::vector<host_id> older;
    for (const wire::Member& one : told.members())
    {
        const host_id id(one.host());
        const bool was_dead = this->members.is_dead(id);
        const merge_outcome outcome = this->members.merge(one);
        if (outcome == merge_outcome::news)
        {
            // The own entry is raised here, so it is news for the teller too.
            this->note_news(id, id == this->members.own() ? id : from);
            this->ring_changed |= was_dead != this->members.is_dead(id);
        }
        else if (outcome == merge_outcome::older)
        {
            older.push_back(id);
        }
    }
    return older;
}

bool gossip_state::declare_dead(const host_id& id)
{
    if (!this->members.declare_dead(id))
    {
        return false;
    }
    ++this->counters.declared_dead;
    this->note_news(id, this->members.own());
    this->ring_changed = true;
    return true;
}

void gossip_state::add_news(wire::Digest& message, std::uint64_t& position,
                            const host_id& to) const
{
    position = std::max(position, this->news_begin);
    std::set<host_id> added;
    while (position < this->news_end() && added.size() < news_limit)
    {
        const news_item& item = this->news[position - this->news_begin];
        ++position;
        if (item.from != to && added.insert(item.member).second)
        {
            *message.add_members() = this->members.describe(item.member);
        }
    }
}

std::uint64_t gossip_state::news_end() const
{
    return this->news_begin + this->news.size();
}

void gossip_state::add_buckets(wire::Digest& message) const
{
    const auto& digests = this->members.digests();
    message.mutable_member_buckets()->Assign(digests.begin(), digests.end());
}

void gossip_state::add_differences(wire::Digest& message,
                                   const wire::Digest& told) const
{
    const auto& digests = this->members.digests();
    if (std::cmp_not_equal(told.member_buckets_size(), digests.size()))
    {
        return;
    }
    std::size_t answered = 0;
    for (std::size_t i = 0; i < digests.size() && answered < buckets_answered;
         ++i)
    {
        if (told.member_buckets(static_cast<int>(i)) == digests[i])
        {
            continue;
        }
        ++answered;
        for (wire::Member& one : this->members.bucket(i))
        {
            *message.add_members() = std::move(one);
        }
    }
}

void gossip_state::refresh_hosts()
{
    const auto value = this->values.find("hosts");
    if (!value || value->digest == this->hosts_digest)
    {
        return;
    }
    this->hosts_digest = value->digest;
    std::string reason;
    const auto parsed = parse_host_list(value->bytes, &reason);
    if (!parsed)
    {
        return;
    }
    std::set<host_id> ids;
    std::ranges::transform(parsed->hosts, std::inserter(ids, ids.end()),
                           &host::id);
    this->members.set_members(ids);
    this->ring.set_hosts(parsed);
    this->ring_changed = true;
}

bool gossip_state::is_watcher() const
{
    return this->ring.is_watcher(this->members.dead(),
                                 this->soft.leaving_hosts());
}

// Remembers that a description changed; the oldest news are forgotten, for the
// comparison of buckets makes up for them.
void gossip_state::note_news(const host_id& member, const host_id& from)
{
    this->news.push_back({member, from});
    if (this->news.size() > news_kept)
    {
        this->news.pop_front();
        ++this->news_begin;
    }
}

} // namespace basilpath
