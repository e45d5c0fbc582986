#include "node/process/member_list.hpp"

#include "version/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <chrono>
#include <iterator>
#include <random>
#include <ranges>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// A probe without an answer after this time counts as missed. A round trip
// between domains takes about a millisecond, on a busy host about ten.
constexpr microseconds probe_timeout = 200ms;

// Missed probes after which a member is declared dead. Datagrams get lost, so
// one is not enough.
constexpr unsigned probes_until_dead = 3;

// Time between probes of dead members, one each time, so that both sides of a
// network partition rejoin.
constexpr microseconds dead_probe_interval = 500ms;

// A failure domain with this many other live members probes itself: each is
// still probed as often as when all hosts probe all.
constexpr std::size_t min_self_probing_members = 5;

// One in this many probe rounds then goes to another domain, so that the loss
// of a whole domain is detected within seconds.
constexpr std::uint64_t rounds_per_remote_probe = 5;

// Of the members that a change is pushed to, this many then are in other
// domains; each of them spreads it in its own domain.
constexpr std::size_t remote_push_targets = 2;

// Time after which a dead member is removed from the list.
constexpr microseconds dead_member_retention = 120s;

// How long a dead member still counts for shared limits, since the repeats
// that it spent still count: twice the window of the retry budget.
constexpr microseconds dead_budget_share_time = 20s;

// Demands in a description; one takes up to 9 bytes.
constexpr std::size_t max_announced_demands = 12;

// How long a dead member keeps its share of the limits of replicas, and how
// long when most members have died.
constexpr microseconds dead_limit_share_time = 3s;
constexpr microseconds cut_off_limit_share_time = 20s;

// How often a description is gossiped for each doubling of the number of
// members.
constexpr unsigned transmissions_per_doubling = 3;

} // namespace

member_list::member_list(member own, instant) : self(std::move(own)) {}

bool member_list::merge(const member& received, instant now)
{
    if (received.address == this->self.address)
    {
        this->refute(received);
        return false;
    }
    auto [found, added] = this->records.try_emplace(received.address);
    record& one = found->second;
    if (!added && !received.newer_than(one.description))
    {
        return false;
    }
    const member_state before =
        added ? member_state::dead : one.description.state;
    if (received.store_lost && (added || !one.description.store_lost))
    {
        this->store_loss_at = now;
    }
    one.description = received;
    one.transmissions = 0;
    one.unanswered_probes = 0;
    if (added)
    {
        one.last_received = now;
    }
    if (received.state == member_state::dead)
    {
        one.died_at = now;
    }
    if (before != received.state)
    {
        this->changes.push_back(received);
    }
    return true;
}

void member_list::note_alive(const peer_address& address, instant now)
{
    const auto found = this->records.find(address);
    if (found != this->records.end())
    {
        found->second.last_received = now;
        found->second.unanswered_probes = 0;
    }
}

std::vector<peer_address> member_list::next_probes(instant now)
{
    std::vector<peer_address> chosen;
    for (auto& [address, one] : this->records)
    {
        const bool waiting = one.probed_at > one.last_received &&
                             one.description.state != member_state::dead;
        if (!waiting || now - one.probed_at < probe_timeout)
        {
            continue;
        }
        if (++one.unanswered_probes >= probes_until_dead)
        {
            this->declare_dead(one, now);
            continue;
        }
        one.probed_at = now;
        chosen.push_back(address);
    }
    std::erase_if(this->records,
                  [now](const auto& entry)
                  {
                      const record& one = entry.second;
                      return one.description.state == member_state::dead &&
                             now - one.died_at > dead_member_retention;
                  });
    // Adds the next live member in address order, and a dead one when due.
    const bool remote_round = ++this->rounds % rounds_per_remote_probe == 0;
    const bool probes_itself = this->local_count() >= min_self_probing_members;
    peer_address& last_address =
        remote_round ? this->last_remote_probed : this->last_probed;
    const auto is_eligible = [&](const record& one)
    {
        const bool remote = one.description.domain != this->self.domain;
        return !probes_itself || remote == remote_round;
    };
    const auto next_of = [&](bool dead) -> record*
    {
        auto at = this->records.upper_bound(last_address);
        for (std::size_t i = 0; i < this->records.size(); ++i, ++at)
        {
            at = at == this->records.end() ? this->records.begin() : at;
            const bool is_dead =
                at->second.description.state == member_state::dead;
            if (is_dead == dead && (dead || is_eligible(at->second)) &&
                std::ranges::find(chosen, at->first) == chosen.end())
            {
                return &at->second;
            }
        }
        return nullptr;
    };
    if (record* const dead =
            now >= this->dead_probe_at ? next_of(true) : nullptr)
    {
        this->dead_probe_at = now + dead_probe_interval;
        chosen.push_back(dead->description.address);
    }
    if (record* const live = next_of(false))
    {
        live->probed_at = now;
        last_address = live->description.address;
        chosen.push_back(last_address);
    }
    return chosen;
}

std::vector<member> member_list::gossip(std::size_t most)
{
    std::vector<record*> pending;
    for (auto& [address, one] : this->records)
    {
        if (one.transmissions < this->transmission_limit())
        {
            pending.push_back(&one);
        }
    }
    std::ranges::sort(pending, {},
                      [](const record* one) { return one->transmissions; });
    pending.resize(std::min(pending.size(), most));
    std::vector<member> result;
    for (record* const one : pending)
    {
        ++one->transmissions;
        result.push_back(one->description);
    }
    return result;
}

void member_list::set_ready(bool ready)
{
    if (this->self.ready != ready)
    {
        this->self.ready = ready;
        ++this->self.counter;
    }
}

void member_list::set_leaving()
{
    this->self.state = member_state::leaving;
    ++this->self.counter;
}

void member_list::set_store_lost(bool lost)
{
    if (this->self.store_lost != lost)
    {
        this->self.store_lost = lost;
        ++this->self.counter;
    }
}

bool member_list::set_demands(std::vector<host_demand> demands)
{
    demands.resize(std::min(demands.size(), max_announced_demands));
    std::erase_if(demands, &host_demand::none);
    if (this->self.demands == demands)
    {
        return false;
    }
    this->self.demands = std::move(demands);
    ++this->self.counter;
    return true;
}

std::vector<member> member_list::live() const
{
    std::vector<member> result{this->self};
    for (const auto& [address, one] : this->records)
    {
        if (one.description.state != member_state::dead)
        {
            result.push_back(one.description);
        }
    }
    return result;
}

const member* member_list::find(const peer_address& address) const
{
    const auto found = this->records.find(address);
    return found == this->records.end() ? nullptr : &found->second.description;
}

bool member_list::limits_traffic_to(const peer_address& address) const
{
    const member* const one = this->find(address);
    return one && one->domain != this->self.domain &&
           this->local_count() >= min_self_probing_members;
}

std::vector<peer_address> member_list::push_targets(std::size_t most,
                                                    std::uint64_t random) const
{
    std::vector<peer_address> candidates = this->peers();
    std::mt19937_64 generator(random);
    std::ranges::shuffle(candidates, generator);
    const auto limited = std::ranges::stable_partition(
        candidates, [this](const peer_address& one)
        { return !this->limits_traffic_to(one); });
    std::vector<peer_address> chosen(
        limited.begin(),
        limited.begin() + static_cast<std::ptrdiff_t>(
                              std::min(limited.size(), remote_push_targets)));
    const auto unlimited_count =
        static_cast<std::size_t>(limited.begin() - candidates.begin());
    const std::size_t rest = std::min(unlimited_count, most - chosen.size());
    chosen.insert(chosen.end(), candidates.begin(),
                  candidates.begin() + static_cast<std::ptrdiff_t>(rest));
    return chosen;
}

// Returns the number of other live members in this host's failure domain.
std::size_t member_list::local_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->records,
                              [this](const auto& entry)
                              {
                                  const member& one = entry.second.description;
                                  return one.state != member_state::dead &&
                                         one.domain == this->self.domain;
                              }));
}

std::vector<peer_address> member_list::peers() const
{
    std::vector<peer_address> result;
    for (const auto& [address, one] : this->records)
    {
        if (one.description.state != member_state::dead)
        {
            result.push_back(address);
        }
    }
    return result;
}

std::size_t member_list::budget_host_count(instant now) const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   this->records,
                   [now](const auto& entry)
                   {
                       const record& one = entry.second;
                       return one.description.state != member_state::dead ||
                              now - one.died_at < dead_budget_share_time;
                   }));
}

std::vector<demanding_host> member_list::limit_sharers(instant now) const
{
    const auto died_within = [now](const record& one, microseconds time)
    {
        return one.description.state == member_state::dead &&
               now - one.died_at < time;
    };
    const auto died = static_cast<std::size_t>(std::ranges::count_if(
        this->records, [&died_within](const auto& entry)
        { return died_within(entry.second, cut_off_limit_share_time); }));
    const std::size_t alive = this->peers().size() + 1;
    const microseconds counted =
        died > alive ? cut_off_limit_share_time : dead_limit_share_time;
    std::vector<demanding_host> sharers{
        {this->self.address, this->self.domain, this->self.demands, false}};
    for (const auto& [address, one] : this->records)
    {
        if (one.description.state != member_state::dead ||
            died_within(one, counted))
        {
            sharers.push_back({address, one.description.domain,
                               one.description.demands, false});
        }
    }
    return sharers;
}

member_list::reading_place member_list::reading_place_of(const member& one)
{
    constexpr std::string_view order = "reader";
    return {one.store_lost, rendezvous_hash(order, one.address.value)};
}

std::size_t member_list::rank() const
{
    const reading_place own = reading_place_of(this->self);
    return static_cast<std::size_t>(
        std::ranges::count_if(this->records,
                              [&own](const auto& entry)
                              {
                                  const member& one = entry.second.description;
                                  return one.state == member_state::alive &&
                                         reading_place_of(one) < own;
                              }));
}

std::vector<peer_address> member_list::first_readers(std::size_t most) const
{
    std::vector<std::pair<reading_place, peer_address>> places;
    for (const auto& [address, one] : this->records)
    {
        if (one.description.state == member_state::alive)
        {
            places.emplace_back(reading_place_of(one.description), address);
        }
    }
    const auto count =
        static_cast<std::ptrdiff_t>(std::min(most, places.size()));
    std::ranges::partial_sort(places, places.begin() + count);
    std::vector<peer_address> result;
    std::ranges::copy(places | std::views::values | std::views::take(count),
                      std::back_inserter(result));
    return result;
}

std::size_t member_list::store_lost_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->records,
        [](const auto& entry)
        {
            const member& one = entry.second.description;
            return one.state == member_state::alive && one.store_lost;
        }));
}

std::vector<member> member_list::take_changes()
{
    return std::exchange(this->changes, {});
}

void member_list::declare_dead(record& one, instant now)
{
    one.description.state = member_state::dead;
    one.died_at = now;
    one.transmissions = 0;
    this->changes.push_back(one.description);
}

// Raises the own counter above that of a description of this address that this
// process did not send, so that its own description replaces it.
void member_list::refute(const member& received)
{
    const bool mine = received.start == this->self.start &&
                      received.counter <= this->self.counter &&
                      received.state <= this->self.state;
    if (!mine && received.counter >= this->self.counter)
    {
        this->self.counter = received.counter + 1;
    }
}

unsigned member_list::transmission_limit() const
{
    return transmissions_per_doubling *
           static_cast<unsigned>(std::bit_width(this->records.size() + 1));
}

} // namespace basilpath
