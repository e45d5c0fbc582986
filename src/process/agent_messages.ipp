// What an agent does with each kind of message; part of agent.hpp.
#pragma once

#include "process/agent.hpp"

namespace basilpath
{

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_digest(const peer_address& from,
                                                    const wire::Digest& message)
{
    ++this->gossip.counters.digests_received;
    const host_id teller(message.host());
    if (const auto found = this->sessions.find(teller);
        found != this->sessions.end())
    {
        found->second->heard();
    }
    if (const auto found = this->probes.find(teller);
        found != this->probes.end())
    {
        this->answer_probe(teller, found->second);
        this->probes.erase(found);
    }
    if (!this->gossip.ready)
    {
        this->answered.insert(teller);
        if (message.ready())
        {
            this->note_ready_peer(from, message);
        }
    }
    this->accuse(message);
    const std::uint64_t news = this->gossip.news_end();
    const auto older = this->gossip.merge_members(message, teller);
    this->on_values(from, message);
    this->answer_digest(from, message, older);
    if (this->gossip.news_end() != news)
    {
        this->wake_sessions();
    }
}

// Remembers what a peer holds that has itself asked others, for the own join.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::note_ready_peer(
    const peer_address& from, const wire::Digest& message)
{
    if (this->ready_peers.empty())
    {
        this->first_ready_peer = Runtime::clock::now();
    }
    this->ready_peers.insert(from);
    for (const wire::ValueDigest& one : message.values())
    {
        auto& wanted = this->wanted_numbers[one.name()];
        wanted = std::max(wanted, one.number());
    }
}

// Answers when that is wanted, when the teller knows less than this host, or
// when it is held for dead and has to be told so.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::answer_digest(
    const peer_address& from, const wire::Digest& message,
    const std::vector<host_id>& older)
{
    const host_id teller(message.host());
    const bool held_dead = this->gossip.members.is_dead(teller);
    if (!message.answer() && older.empty() && !held_dead)
    {
        return;
    }
    wire::Envelope envelope;
    wire::Digest& answer = *envelope.mutable_digest();
    answer = this->gossip.digest();
    answer.set_sequence(message.sequence());
    for (const host_id& id : older)
    {
        *answer.add_members() = this->gossip.members.describe(id);
    }
    if (held_dead)
    {
        *answer.add_members() = this->gossip.members.describe(teller);
    }
    this->gossip.add_differences(answer, message);
    ++this->gossip.counters.digests_sent;
    this->send(from, std::move(envelope));
    if (message.answer() && !message.member_buckets().empty() &&
        message.soft_digest() != this->gossip.soft.digest())
    {
        wire::Envelope soft;
        *soft.mutable_soft() = this->gossip.soft.all(this->soft_now());
        this->send(from, std::move(soft));
    }
}

// A neighbour that others hold for dead is told so while it still is a
// neighbour: when it lives it says so.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::accuse(const wire::Digest& message)
{
    for (const wire::Member& one : message.members())
    {
        const auto found = this->sessions.find(host_id(one.host()));
        if (one.state() == 0 || found == this->sessions.end() ||
            this->gossip.members.is_dead(found->first))
        {
            continue;
        }
        wire::Envelope envelope;
        *envelope.mutable_digest() = this->gossip.digest();
        *envelope.mutable_digest()->add_members() = one;
        this->send(found->second->peer().agent, std::move(envelope));
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_values(const peer_address& from,
                                                    const wire::Digest& message)
{
    for (const wire::ValueDigest& one : message.values())
    {
        this->consider(from, one);
    }
}

// Fetches a value that a peer told of when it would be accepted here.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::consider(
    const peer_address& from, const wire::ValueDigest& told)
{
    const offer_outcome outcome =
        this->gossip.values.judge(told.name(), told.number(), told.digest());
    if (outcome == offer_outcome::conflict)
    {
        this->report_refusal(told.name(), told.number(), outcome, "peer");
    }
    if (outcome != offer_outcome::accepted)
    {
        return;
    }
    const auto running = this->fetches.find(told.name());
    if (running == this->fetches.end())
    {
        this->start_fetch({from, told});
    }
    else if (running->second->value().digest() != told.digest())
    {
        auto& next = this->waiting[told.name()];
        if (told.number() >= next.value.number())
        {
            next = {from, told};
        }
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::start_fetch(offer from)
{
    const auto one = std::make_shared<fetch>(
        this->owner, this->transport, from.source, from.value,
        this->gossip.values.find(from.value.name()));
    this->fetches[from.value.name()] = one;
    boost::asio::co_spawn(
        this->owner.executor(),
        [self = this->shared_from_this(), one, from]
        { return self->run_fetch(one, from); },
        boost::asio::detached);
}

// Runs a fetch to its end, takes what it brought, and starts the next one that
// has come up meanwhile.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
boost::asio::awaitable<void>
agent<Runtime, Transport, Platform>::run_fetch(std::shared_ptr<fetch> one,
                                               offer from)
{
    const std::string name = from.value.name();
    std::optional<std::string> bytes = co_await one->run();
    this->gossip.counters.section_bytes_received += one->bytes_moved();
    this->fetches.erase(name);
    if (bytes)
    {
        this->take(name, std::move(*bytes), "peer");
    }
    const auto next = this->waiting.find(name);
    if (next != this->waiting.end())
    {
        const offer waited = std::move(next->second);
        this->waiting.erase(next);
        this->consider(waited.source, waited.value);
    }
}

// Judges a value and puts it in force when it is accepted. Only what comes
// from the platform is checked in full: what comes from a peer was checked
// before it spread, and its digest has been compared.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::take(const std::string& name,
                                               std::string bytes,
                                               const char* source)
{
    const std::uint64_t number = value_number(bytes).value_or(0);
    if (source == std::string_view("platform") &&
        this->is_faulty(name, number, bytes))
    {
        return;
    }
    const offer_outcome outcome =
        this->gossip.values.offer(name, std::move(bytes));
    if (outcome != offer_outcome::accepted)
    {
        this->report_refusal(name, number, outcome, source);
        return;
    }
    ++this->gossip.counters.values_accepted;
    this->report(log_level::info, "value_accepted",
                 {{"value", name}, {"number", number}, {"source", source}});
    if (name == "hosts")
    {
        this->gossip.refresh_hosts();
    }
    this->unpublished = true;
    this->wake_sessions();
}

// Checks a value of the platform in full unless it would not be taken anyway;
// reports the first fault.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
bool agent<Runtime, Transport, Platform>::is_faulty(const std::string& name,
                                                    std::uint64_t number,
                                                    std::string_view bytes)
{
    const offer_outcome outcome =
        this->gossip.values.judge(name, number, content_digest(bytes));
    if (number != 0 && outcome != offer_outcome::accepted)
    {
        return false;
    }
    const std::string fault = check_value(name, bytes);
    if (fault.empty())
    {
        return false;
    }
    ++this->gossip.counters.values_refused;
    this->report(log_level::error, "value_faulty",
                 {{"value", name}, {"number", number}, {"fault", fault}});
    return true;
}

// Reports each refusal once, until another is refused.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::report_refusal(
    const std::string& name, std::uint64_t number, offer_outcome outcome,
    const char* source)
{
    if (outcome == offer_outcome::same)
    {
        return;
    }
    auto& count = outcome == offer_outcome::lower
                      ? this->gossip.counters.values_lower
                      : this->gossip.counters.values_refused;
    ++count;
    const std::string key =
        fmt::format("{} {} {}", name, to_string(outcome), source);
    const auto [slot, first] = this->refused.try_emplace(key, number);
    if (!first && slot->second == number)
    {
        return;
    }
    slot->second = number;
    this->report(outcome == offer_outcome::lower ? log_level::warning
                                                 : log_level::error,
                 outcome == offer_outcome::lower ? "value_lower_ignored"
                                                 : "value_refused",
                 {{"value", name},
                  {"number", number},
                  {"outcome", to_string(outcome)},
                  {"source", source}});
}

// Answers with the list of sections, or with those that were named.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_section_request(
    const peer_address& from, const wire::SectionRequest& message)
{
    const auto held = this->gossip.values.find(message.name());
    if (!held)
    {
        return;
    }
    wire::Envelope envelope;
    wire::Sections& answer = *envelope.mutable_sections();
    answer.set_name(message.name());
    answer.set_number(held->number);
    answer.set_digest(held->digest);
    const std::set<std::uint64_t> wanted(message.sections().begin(),
                                         message.sections().end());
    std::set<std::uint64_t> added;
    for (const value_section& one : held->sections)
    {
        if (wanted.empty())
        {
            answer.add_order(one.digest);
        }
        else if (wanted.contains(one.digest) && added.insert(one.digest).second)
        {
            wire::Section& section = *answer.add_sections();
            section.set_digest(one.digest);
            section.set_bytes(one.bytes.data(), one.bytes.size());
        }
    }
    this->send(from, std::move(envelope));
}

// Takes soft state and passes on the part that is news.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_soft(const peer_address& from,
                                                  const wire::Soft& message)
{
    const auto news = this->gossip.soft.merge(message, this->soft_now());
    if (!news)
    {
        return;
    }
    this->unpublished = true;
    this->report(log_level::info, "soft_state",
                 {{"quarantines", news->quarantines_size()},
                  {"hosts", news->host_marks_size()},
                  {"leaves", news->leaf_marks_size()}});
    for (const auto& [id, one] : this->sessions)
    {
        if (one->peer().agent != from)
        {
            wire::Envelope envelope;
            *envelope.mutable_soft() = *news;
            this->send(one->peer().agent, std::move(envelope));
        }
    }
}

// Puts a question for another host, or notes that one was answered.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_probe(const peer_address& from,
                                                   const wire::Probe& message)
{
    const host_id id(message.host());
    if (message.heard())
    {
        const auto found = this->sessions.find(id);
        if (found != this->sessions.end())
        {
            found->second->heard();
        }
        return;
    }
    const host* const target = this->gossip.ring.find(id);
    if (target == nullptr)
    {
        return;
    }
    this->probes[id] = {from, message.sequence(), Runtime::clock::now()};
    wire::Envelope envelope;
    *envelope.mutable_digest() = this->gossip.digest();
    envelope.mutable_digest()->set_answer(true);
    this->send(target->agent, std::move(envelope));
}

// Tells the asker that the host has been heard, if that was soon enough.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::answer_probe(
    const host_id& id, const relayed_probe& probe)
{
    if (Runtime::clock::now() - probe.since > agent_times::probe_time)
    {
        return;
    }
    wire::Envelope envelope;
    wire::Probe& answer = *envelope.mutable_probe();
    answer.set_host(id.value);
    answer.set_sequence(probe.sequence);
    answer.set_heard(true);
    this->send(probe.asker, std::move(envelope));
}

// Asks a few neighbours to probe a host that does not answer this one.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::ask_helpers(const host_id& id,
                                                      std::uint64_t sequence)
{
    std::vector<peer_address> helpers;
    for (const auto& [peer_id, one] : this->sessions)
    {
        if (peer_id != id)
        {
            helpers.push_back(one->peer().agent);
        }
    }
    const std::size_t count =
        std::min(helpers.size(), agent_times::probe_helpers);
    for (std::size_t i = 0; i < count; ++i)
    {
        const std::size_t left = helpers.size() - i;
        std::swap(helpers[i], helpers[i + this->owner.random() % left]);
        wire::Envelope envelope;
        wire::Probe& question = *envelope.mutable_probe();
        question.set_host(id.value);
        question.set_sequence(sequence);
        this->send(helpers[i], std::move(envelope));
    }
}

// Notes a process of this host. What it holds was once in force, so nothing
// below that is taken from a stale platform after a restart.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_subscribe(
    const peer_address& from, const wire::Subscribe& message)
{
    for (const wire::ValueDigest& one : message.held())
    {
        this->gossip.values.raise_floor(one.name(), one.number());
    }
    auto answer = this->feed.subscribe(from, message, this->soft_now());
    if (answer)
    {
        wire::Envelope envelope;
        *envelope.mutable_state() = std::move(*answer);
        this->send(from, std::move(envelope));
    }
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::on_status(
    const peer_address& from, const wire::StatusRequest& asked)
{
    wire::Envelope envelope;
    wire::StatusReply& reply = *envelope.mutable_status_reply();
    reply.set_request(asked.request());
    reply.set_text(describe_status(this->gossip, this->neighbours(),
                                   this->subscribers(),
                                   this->platform.calls()));
    this->send(from, std::move(envelope));
}

template <runtime Runtime, peer_transport Transport, platform_source Platform>
void agent<Runtime, Transport, Platform>::wake_sessions()
{
    for (const auto& [id, one] : this->sessions)
    {
        one->wake();
    }
}

} // namespace basilpath
