#pragma once

#include "process/agent.hpp"

#include "process/agent_status.hpp"
#include "version/host.hpp"
#include "version/host_list.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace agent_times
{

inline constexpr double calls_per_second = 2.0;
inline constexpr double call_burst = 8.0;
inline constexpr std::chrono::milliseconds tick_interval{100};
inline constexpr std::chrono::milliseconds join_interval{50};
inline constexpr std::chrono::milliseconds join_time_limit{3000};
inline constexpr std::chrono::milliseconds join_answer_time{300};
inline constexpr std::chrono::milliseconds join_alone_time{500};
inline constexpr std::size_t join_answers = 3;
inline constexpr std::chrono::milliseconds probe_time{1000};
inline constexpr std::size_t probe_helpers = 3;
inline constexpr std::uint64_t ticks_per_dead_question = 20;

} // namespace agent_times

template <runtime Runtime, peer_transport Transport, platform_source Platform>
agent<Runtime, Transport, Platform>::agent(Runtime& owner, Transport& transport,
                                           Platform& platform,
                                           agent_options options,
                                           event_report report)
    : owner(owner), transport(transport), platform(platform),
      options(std::move(options)), report(std::move(report)),
      gossip(this->options.id, this->options.start),
      calls(agent_times::calls_per_second, agent_times::call_burst,
            Runtime::clock::now())
{
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::start()
{
    const auto self = this->shared_from_this();
    const auto spawn = [&](auto body)
    {
        boost::asio::co_spawn(this->owner.executor(), std::move(body),
                              boost::asio::detached);
    };
    spawn([self] { return self->join(); });
    spawn([self] { return self->tick(); });
    const typename watch::owner_calls hooks = {
        [this] { return this->gossip.is_watcher(); },
        [this](const std::string& name, std::string bytes)
        { this->take(name, std::move(bytes), "platform"); },
        this->report};
    for (const char* name : {"document", "targets", "hosts"})
    {
        this->watches.push_back(std::make_shared<watch>(
            this->owner, this->platform, this->calls, name, hooks));
        spawn([self, one = this->watches.back()] { return one->run(); });
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::stop()
{
    this->stopped = true;
    std::ranges::for_each(this->watches, [](const auto& one) { one->stop(); });
    for (const auto& [id, one] : this->sessions)
    {
        one->stop();
    }
    this->sessions.clear();
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::receive(const peer_address& from,
                                                  incarnation,
                                                  wire::Envelope message)
{
    switch (message.body_case())
    {
    case wire::Envelope::kDigest:
        this->on_digest(from, message.digest());
        break;
    case wire::Envelope::kSectionRequest:
        this->on_section_request(from, message.section_request());
        break;
    case wire::Envelope::kSections:
        if (const auto found = this->fetches.find(message.sections().name());
            found != this->fetches.end())
        {
            found->second->receive(std::move(*message.mutable_sections()));
        }
        break;
    case wire::Envelope::kSoft:
        this->on_soft(from, message.soft());
        break;
    case wire::Envelope::kProbe:
        this->on_probe(from, message.probe());
        break;
    case wire::Envelope::kSubscribe:
        this->on_subscribe(from, message.subscribe());
        break;
    case wire::Envelope::kStatusRequest:
        this->on_status(from, message.status_request());
        break;
    default:
        break;
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
const gossip_state& agent<Runtime, Transport, Platform>::state() const
{
    return this->gossip;
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
std::size_t agent<Runtime, Transport, Platform>::subscribers() const
{
    return this->feed.subscribers();
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
std::size_t agent<Runtime, Transport, Platform>::neighbours() const
{
    return this->sessions.size();
}

// Asks peers what is in force before anything is told to the processes of this
// host, because the platform may be stale.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<void> agent<Runtime, Transport, Platform>::join()
{
    // Step 1. Ask the agents that the settings name.
    for (const peer_address& seed : this->options.seeds)
    {
        wire::Envelope envelope;
        *envelope.mutable_digest() = this->gossip.digest();
        envelope.mutable_digest()->set_answer(true);
        this->send(seed, std::move(envelope));
    }
    // Step 2. Learn of the hosts from the platform when no peer tells them;
    // the sessions with the neighbours then ask them.
    co_await this->read_hosts();
    // Step 3. Wait until peers have answered and what they hold is here.
    const time_point began = Runtime::clock::now();
    while (!this->stopped && !co_await this->join_step(began))
    {
    }
    // Step 4. Tell the processes of this host.
    this->gossip.ready = true;
    this->report(log_level::info, "joined",
                 {{"peers", this->ready_peers.size()}});
    this->publish();
}

// Waits a little; true when there is no more to wait for.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<bool>
agent<Runtime, Transport, Platform>::join_step(time_point began)
{
    co_await this->sleep(agent_times::join_interval);
    const time_point now = Runtime::clock::now();
    if (this->ready_peers.empty())
    {
        co_return now - began >= agent_times::join_time_limit ||
            (now - began >= agent_times::join_alone_time &&
             this->all_answered());
    }
    const bool enough =
        this->ready_peers.size() >= agent_times::join_answers ||
        now - this->first_ready_peer >= agent_times::join_answer_time;
    const bool here =
        std::ranges::all_of(this->wanted_numbers,
                            [this](const auto& wanted)
                            {
                                const auto held =
                                    this->gossip.values.find(wanted.first);
                                return held && held->number >= wanted.second;
                            });
    co_return (enough && here) ||
        now - began >= 4 * agent_times::join_time_limit;
}

// Tells whether the host list is known and every neighbour in it has answered.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
bool agent<Runtime, Transport, Platform>::all_answered() const
{
    return this->gossip.ring.hosts() != nullptr &&
           std::ranges::all_of(this->sessions,
                               [this](const auto& entry) {
                                   return this->answered.contains(entry.first);
                               });
}

// Reads the host list from the platform unless a peer tells it first. A host
// list from a stale platform does to find peers by.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<void> agent<Runtime, Transport, Platform>::read_hosts()
{
    backoff retry(platform_times::retry_least, platform_times::retry_most);
    const auto spread =
        static_cast<std::uint64_t>(this->options.start_spread.count());
    co_await this->sleep(
        std::chrono::milliseconds(this->owner.random() % (spread + 1)));
    while (!this->stopped && !this->gossip.values.find("hosts"))
    {
        if (this->calls.take(Runtime::clock::now()))
        {
            platform_reply reply = co_await this->platform.read(
                "hosts", std::nullopt, std::chrono::milliseconds(0));
            if (reply.content)
            {
                this->take("hosts", std::move(reply.content->bytes),
                           "platform");
            }
        }
        if (!this->gossip.values.find("hosts"))
        {
            co_await this->sleep(retry.next(this->owner.random()));
        }
    }
}

// Does what comes round: ends soft state, keeps the neighbours right, tells
// the processes of this host what is new.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<void> agent<Runtime, Transport, Platform>::tick()
{
    for (std::uint64_t count = 0; !this->stopped; ++count)
    {
        co_await this->sleep(agent_times::tick_interval);
        this->unpublished |= this->gossip.soft.expire(this->soft_now());
        if (std::exchange(this->gossip.ring_changed, false))
        {
            this->update_neighbours();
            this->unpublished = true;
        }
        if (count % agent_times::ticks_per_dead_question == 0)
        {
            this->ask_dead_host();
        }
        if (std::exchange(this->unpublished, false))
        {
            this->publish();
        }
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<void>
agent<Runtime, Transport, Platform>::sleep(std::chrono::milliseconds time)
{
    typename Runtime::timer timer(this->owner.executor());
    timer.expires_after(time);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Brings the sessions in line with the neighbours.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::update_neighbours()
{
    std::map<host_id, std::shared_ptr<session>> kept;
    for (const neighbour& one :
         this->gossip.ring.neighbours(this->gossip.members.dead()))
    {
        const auto found = this->sessions.find(one.id);
        if (found != this->sessions.end() && found->second->peer() == one)
        {
            kept.insert(this->sessions.extract(found));
            continue;
        }
        const auto created = std::make_shared<session>(
            this->owner, this->transport, this->gossip, one,
            [this](const host_id& id, std::uint64_t sequence)
            { this->ask_helpers(id, sequence); },
            this->report);
        boost::asio::co_spawn(
            this->owner.executor(),
            [created, self = this->shared_from_this()]
            { return created->run(); },
            boost::asio::detached);
        kept.emplace(one.id, created);
    }
    for (const auto& [id, gone] : this->sessions)
    {
        gone->stop();
    }
    this->sessions = std::move(kept);
}

// Sends a question to some host that is held for dead, so that it can say that
// it is not, and the two sides of a partition find each other again.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::ask_dead_host()
{
    const auto& dead = this->gossip.members.dead();
    if (dead.empty())
    {
        return;
    }
    const auto place = static_cast<std::ptrdiff_t>(
        this->owner.random() % static_cast<std::uint64_t>(dead.size()));
    const host_id& id = *std::next(dead.begin(), place);
    const host* const found = this->gossip.ring.find(id);
    if (found == nullptr)
    {
        return;
    }
    wire::Envelope envelope;
    wire::Digest& message = *envelope.mutable_digest();
    message = this->gossip.digest();
    message.set_answer(true);
    this->gossip.add_buckets(message);
    *message.add_members() = this->gossip.members.describe(id);
    this->send(found->agent, std::move(envelope));
}

// Tells the processes of this host what has changed.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::publish()
{
    if (!this->gossip.ready)
    {
        return;
    }
    this->feed.set_state(describe_state(this->gossip, this->soft_now()));
    for (feed_message& one : this->feed.changes(this->soft_now()))
    {
        wire::Envelope envelope;
        *envelope.mutable_state() = std::move(one.state);
        this->send(one.to, std::move(envelope));
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::send(const peer_address& to,
                                               wire::Envelope message)
{
    this->transport.send(to, std::move(message));
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
soft_state::time_point agent<Runtime, Transport, Platform>::soft_now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Runtime::clock::now().time_since_epoch());
}

} // namespace basilpath

#include "process/agent_messages.ipp"
