#include "node/process/member_list.hpp"

#include "version/rendezvous.hpp"

#include <algorithm>
#include <bit>
#include <chrono>
#include <iterator>
#include <random>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// A probe without an answer after this time counts as lost: a round trip
// between domains takes about a millisecond, a busy host some ten.
constexpr microseconds probe_timeout = 200ms;

// Probes without an answer after which a member is held for dead. Datagrams
// are lost now and then, so one is not enough.
constexpr unsigned lost_probes = 3;

// One member that is held for dead is probed this often, so that both sides
// of a cut find each other again.
constexpr microseconds dead_probe_interval = 500ms;

// A failure domain with this many other live members watches itself: each is
// probed as often as when all hosts probe all.
constexpr std::size_t self_watching = 5;

// Of the rounds of probes, one in this many then goes to another domain, so
// that the loss of a whole domain is noticed within seconds.
constexpr std::uint64_t far_rounds = 5;

// Of the members that are told of a change, this many then stand in another
// domain; each of them tells its own.
constexpr std::size_t far_listeners = 2;

// A dead member is forgotten after this time.
constexpr microseconds forget_after = 120s;

// A member that has died still counts for shared bounds for this long, since
// what it spent still counts: twice the window of repeats.
constexpr microseconds share_memory = 20s;

// News is told this many times for each doubling of the number of members.
constexpr unsigned tell_factor = 3;

} // namespace

member_list::member_list(member own, instant) : self(std::move(own)) {}

bool member_list::merge(const member& told, instant now)
{
    if (told.address == this->self.address)
    {
        this->refute(told);
        return false;
    }
    auto [found, added] = this->records.try_emplace(told.address);
    record& one = found->second;
    if (!added && !told.newer_than(one.described))
    {
        return false;
    }
    const member_state before =
        added ? member_state::dead : one.described.state;
    one.described = told;
    one.told = 0;
    one.unanswered = 0;
    if (added)
    {
        one.last_heard = now;
    }
    if (told.state == member_state::dead)
    {
        one.died_at = now;
    }
    if (before != told.state)
    {
        this->changes.push_back(told);
    }
    return true;
}

void member_list::note_alive(const peer_address& address, instant now)
{
    const auto found = this->records.find(address);
    if (found != this->records.end())
    {
        found->second.last_heard = now;
        found->second.unanswered = 0;
    }
}

std::vector<peer_address> member_list::probe(instant now)
{
    std::vector<peer_address> chosen;
    for (auto& [address, one] : this->records)
    {
        const bool waiting = one.probed_at > one.last_heard &&
                             one.described.state != member_state::dead;
        if (!waiting || now - one.probed_at < probe_timeout)
        {
            continue;
        }
        if (++one.unanswered >= lost_probes)
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
                      return one.described.state == member_state::dead &&
                             now - one.died_at > forget_after;
                  });
    // The next live member in the order of addresses, and one that is dead.
    const bool far_round = ++this->rounds % far_rounds == 0;
    const bool selective = this->near_count() >= self_watching;
    peer_address& last = far_round ? this->last_far_probed : this->last_probed;
    const auto fits = [&](const record& one)
    {
        const bool far = one.described.domain != this->self.domain;
        return !selective || far == far_round;
    };
    const auto next_of = [&](bool dead) -> record*
    {
        auto at = this->records.upper_bound(last);
        for (std::size_t i = 0; i < this->records.size(); ++i, ++at)
        {
            at = at == this->records.end() ? this->records.begin() : at;
            const bool is_dead =
                at->second.described.state == member_state::dead;
            if (is_dead == dead && (dead || fits(at->second)) &&
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
        chosen.push_back(dead->described.address);
    }
    if (record* const live = next_of(false))
    {
        live->probed_at = now;
        last = live->described.address;
        chosen.push_back(last);
    }
    return chosen;
}

std::vector<member> member_list::gossip(std::size_t most)
{
    std::vector<record*> fresh;
    for (auto& [address, one] : this->records)
    {
        if (one.told < this->tell_limit())
        {
            fresh.push_back(&one);
        }
    }
    std::ranges::sort(fresh, {}, [](const record* one) { return one->told; });
    fresh.resize(std::min(fresh.size(), most));
    std::vector<member> told;
    for (record* const one : fresh)
    {
        ++one->told;
        told.push_back(one->described);
    }
    return told;
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

std::vector<member> member_list::live() const
{
    std::vector<member> result{this->self};
    for (const auto& [address, one] : this->records)
    {
        if (one.described.state != member_state::dead)
        {
            result.push_back(one.described);
        }
    }
    return result;
}

const member* member_list::find(const peer_address& address) const
{
    const auto found = this->records.find(address);
    return found == this->records.end() ? nullptr : &found->second.described;
}

bool member_list::avoidable(const peer_address& address) const
{
    const member* const one = this->find(address);
    return one && one->domain != this->self.domain &&
           this->near_count() >= self_watching;
}

std::vector<peer_address> member_list::listeners(std::size_t most,
                                                 std::uint64_t random) const
{
    std::vector<peer_address> near = this->peers();
    std::mt19937_64 generator(random);
    std::ranges::shuffle(near, generator);
    const auto far =
        std::ranges::stable_partition(near, [this](const peer_address& one)
                                      { return !this->avoidable(one); });
    std::vector<peer_address> chosen(
        far.begin(), far.begin() + static_cast<std::ptrdiff_t>(
                                       std::min(far.size(), far_listeners)));
    const auto first_far = static_cast<std::size_t>(far.begin() - near.begin());
    const std::size_t rest = std::min(first_far, most - chosen.size());
    chosen.insert(chosen.end(), near.begin(),
                  near.begin() + static_cast<std::ptrdiff_t>(rest));
    return chosen;
}

// Live members of this host's failure domain, without this host.
std::size_t member_list::near_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->records,
                              [this](const auto& entry)
                              {
                                  const member& one = entry.second.described;
                                  return one.state != member_state::dead &&
                                         one.domain == this->self.domain;
                              }));
}

std::vector<peer_address> member_list::peers() const
{
    std::vector<peer_address> result;
    for (const auto& [address, one] : this->records)
    {
        if (one.described.state != member_state::dead)
        {
            result.push_back(address);
        }
    }
    return result;
}

std::size_t member_list::share_count(instant now) const
{
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   this->records,
                   [now](const auto& entry)
                   {
                       const record& one = entry.second;
                       return one.described.state != member_state::dead ||
                              now - one.died_at < share_memory;
                   }));
}

std::size_t member_list::rank() const
{
    constexpr std::string_view order = "reader";
    const auto own = rendezvous_hash(order, this->self.address.value);
    return static_cast<std::size_t>(std::ranges::count_if(
        this->records,
        [own, order](const auto& entry)
        {
            return entry.second.described.state == member_state::alive &&
                   rendezvous_hash(order, entry.first.value) < own;
        }));
}

std::vector<member> member_list::take_changes()
{
    return std::exchange(this->changes, {});
}

void member_list::declare_dead(record& one, instant now)
{
    one.described.state = member_state::dead;
    one.died_at = now;
    one.told = 0;
    this->changes.push_back(one.described);
}

// Told something of its own address that it did not say itself, the process
// raises its counter, so that its own description holds.
void member_list::refute(const member& told)
{
    const bool mine = told.start == this->self.start &&
                      told.counter <= this->self.counter &&
                      told.state <= this->self.state;
    if (!mine && told.counter >= this->self.counter)
    {
        this->self.counter = told.counter + 1;
    }
}

unsigned member_list::tell_limit() const
{
    return tell_factor *
           static_cast<unsigned>(std::bit_width(this->records.size() + 1));
}

} // namespace basilpath
