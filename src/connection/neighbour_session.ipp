#pragma once

#include "connection/neighbour_session.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace neighbour_times
{

inline constexpr std::chrono::milliseconds digest_period{1000};
inline constexpr std::chrono::milliseconds news_interval{50};
inline constexpr std::chrono::milliseconds question_interval{500};
inline constexpr std::chrono::milliseconds suspicion_time{3000};

// A wait that ends later than this was a pause of the own process.
inline constexpr std::chrono::milliseconds pause_limit{400};

} // namespace neighbour_times

template <runtime Runtime, peer_transport Transport>
neighbour_session<Runtime, Transport>::neighbour_session(
    Runtime& owner, Transport& transport, gossip_state& state, neighbour peer,
    helper ask_others, event_report report)
    : transport(transport), state(state), target(std::move(peer)),
      ask_others(std::move(ask_others)), report(std::move(report)),
      inbox(owner), news_position(state.news_end()),
      next_digest(Runtime::clock::now()), next_news(next_digest)
{
    // Sessions that start together do not ask at the same moment.
    this->next_digest += std::chrono::milliseconds(
        owner.random() %
        static_cast<std::uint64_t>(neighbour_times::question_interval.count()));
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<void> neighbour_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    while (!this->stopped)
    {
        const time_point due = this->next_due();
        co_await this->inbox.pop_until(due);
        const time_point now = Runtime::clock::now();
        if (this->stopped)
        {
            break;
        }
        if (now > due + neighbour_times::pause_limit)
        {
            // The silence was our own: listen again before judging.
            ++this->state.counters.own_pauses;
            this->unanswered.reset();
            this->next_digest = now;
        }
        this->send_news(now);
        this->observe(now);
        this->send_digest(now);
    }
}

template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::stop()
{
    this->stopped = true;
    this->inbox.wake();
}

template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::heard()
{
    if (this->unanswered)
    {
        this->unanswered.reset();
        this->next_digest =
            Runtime::clock::now() + neighbour_times::digest_period;
    }
}

template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::wake()
{
    this->inbox.wake();
}

template <runtime Runtime, peer_transport Transport>
const neighbour& neighbour_session<Runtime, Transport>::peer() const
{
    return this->target;
}

// When the session has to do something next.
template <runtime Runtime, peer_transport Transport>
typename neighbour_session<Runtime, Transport>::time_point
neighbour_session<Runtime, Transport>::next_due() const
{
    time_point due = this->next_digest;
    if (this->unanswered)
    {
        due = this->unanswered->last_question +
              neighbour_times::question_interval;
    }
    const bool news = this->news_position < this->state.news_end() ||
                      this->values_told != this->state.counters.values_accepted;
    return news
               ? std::min(due, std::max(this->next_news, Runtime::clock::now()))
               : due;
}

// Sends values and members that are new, not more often than once in
// `news_interval`.
template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::send_news(time_point now)
{
    const std::uint64_t accepted = this->state.counters.values_accepted;
    if (now < this->next_news ||
        (this->news_position == this->state.news_end() &&
         this->values_told == accepted))
    {
        return;
    }
    this->next_news = now + neighbour_times::news_interval;
    wire::Envelope envelope;
    wire::Digest& message = *envelope.mutable_digest();
    message = this->state.digest();
    const int members = message.members_size();
    this->state.add_news(message, this->news_position, this->target.id);
    if (std::exchange(this->values_told, accepted) != accepted ||
        message.members_size() > members)
    {
        ++this->state.counters.digests_sent;
        this->transport.send(this->target.agent, std::move(envelope));
    }
}

// Sends the digest of the period; an observed neighbour has to answer it.
template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::send_digest(time_point now)
{
    if (now < this->next_digest || this->unanswered)
    {
        return;
    }
    this->next_digest = now + neighbour_times::digest_period;
    if (!this->target.observed)
    {
        return;
    }
    wire::Digest message = this->state.digest();
    this->state.add_buckets(message);
    this->ask(std::move(message), now);
}

// Asks a silent neighbour again, through others too, and declares it dead when
// the silence has lasted.
template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::observe(time_point now)
{
    if (!this->unanswered || now < this->unanswered->last_question +
                                       neighbour_times::question_interval)
    {
        return;
    }
    if (now - this->unanswered->since >= neighbour_times::suspicion_time)
    {
        this->unanswered.reset();
        if (this->state.declare_dead(this->target.id))
        {
            this->report(log_level::warning, "host_dead",
                         {{"host", this->target.id.value}});
        }
        return;
    }
    if (this->unanswered->since == this->unanswered->last_question)
    {
        this->report(log_level::info, "host_suspected",
                     {{"host", this->target.id.value}});
    }
    this->ask(this->state.digest(), now);
    this->ask_others(this->target.id, this->sequence);
}

// Sends a digest that wants an answer.
template <runtime Runtime, peer_transport Transport>
void neighbour_session<Runtime, Transport>::ask(wire::Digest message,
                                                time_point now)
{
    message.set_answer(true);
    message.set_sequence(++this->sequence);
    wire::Envelope envelope;
    *envelope.mutable_digest() = std::move(message);
    ++this->state.counters.digests_sent;
    this->transport.send(this->target.agent, std::move(envelope));
    if (this->unanswered)
    {
        this->unanswered->last_question = now;
    }
    else
    {
        this->unanswered = silence{now, now};
    }
}

} // namespace basilpath
