#include "node/request/gather_session.hpp"

#include "node/request/record_merge.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace gather_bounds
{

/// A query of which this many calls broke and none was answered may be what
/// breaks them, and is not sent to further replicas.
inline constexpr std::size_t suspect_breaks = 3;

/// A call that is not waited for any more is cut at once: under load the slot
/// that its work would take is worth more than the connection.
inline constexpr milliseconds withdrawal_grace{0};

} // namespace gather_bounds

template <runtime Runtime, target_transport Transport>
gather_session<Runtime, Transport>::gather_session(
    services& shared, std::shared_ptr<const route_table> table,
    const route& rule, std::shared_ptr<const caller_query> query,
    gather_times times, request_journal& journal)
    : shared(shared), table(std::move(table)), rule(rule),
      query(std::move(query)), plan(plan_gather(rule, times)), journal(journal),
      needed(parts_needed(rule.gather)), shards(rule.gather.shards.size()),
      events(shared.run)
{
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<gather_result> gather_session<Runtime, Transport>::run(
    std::shared_ptr<caller_presence> presence)
{
    const auto self = this->shared_from_this();
    presence->on_gone(
        [weak = this->weak_from_this()]
        {
            if (const auto session = weak.lock())
            {
                session->events.wake();
            }
        });

    // Step 1. Refuse at once when too few shards have a replica.
    if (this->shards_with_replica() < this->needed)
    {
        co_return this->conclude(gather_end::not_attempted);
    }

    // Step 2. Ask one replica of each shard.
    this->usual = this->shared.targets.latency(this->rule.name).usual;
    for (std::size_t shard = 0; shard < this->shards.size(); ++shard)
    {
        this->shared.repeats.note_request(this->rule.gather.shards[shard],
                                          this->now());
        this->ask(shard);
    }
    if (this->out_of_reach())
    {
        co_return this->conclude(this->lost_reach());
    }

    // Step 3. Take what comes, ask again where it pays.
    while (true)
    {
        const auto until = this->next_wake(this->now());
        auto event = co_await this->events.pop_until(
            to_clock<typename Runtime::clock>(until));
        while (event)
        {
            this->take(std::move(*event));
            event = this->events.take();
        }
        const instant time = this->now();
        if (presence->gone())
        {
            co_return this->conclude(gather_end::caller_left);
        }
        const bool enough = this->parts >= this->needed;
        if (this->parts + this->failures == this->shards.size() && enough)
        {
            co_return this->conclude(gather_end::answered);
        }
        if (enough && time >= this->plan.cutoff)
        {
            co_return this->conclude(gather_end::answered);
        }
        if (this->out_of_reach())
        {
            co_return this->conclude(this->lost_reach());
        }
        if (time >= this->plan.deadline)
        {
            co_return this->conclude(gather_end::timed_out);
        }
        this->hedge_due(time);
    }
}

// Counts the shards of which some replica may be asked now.
template <runtime Runtime, target_transport Transport>
std::size_t gather_session<Runtime, Transport>::shards_with_replica() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->rule.gather.shards,
        [this](const service_name& service)
        {
            return std::ranges::any_of(this->shared.targets.candidates(service),
                                       may_be_asked);
        }));
}

// Sends the query to the best replica of a shard that has not been asked.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::ask(std::size_t shard)
{
    shard_state& state = this->shards[shard];
    const service_name& service = this->rule.gather.shards[shard];
    const instant time = this->now();
    const std::vector<candidate> candidates =
        this->shared.targets.candidates(service);
    const auto choice = choose_replica(
        candidates, {time, this->usual, &this->shared.targets.domain(),
                     state.asked, this->shared.run.random()});
    if (choice)
    {
        this->take_back_unsent(state);
    }
    const bool repeat = this->is_repeat(state);
    const repeat_kind urgency =
        state.calls.empty() ? repeat_kind::retry : repeat_kind::hedge;
    const bool allowed =
        choice &&
        (!repeat || this->shared.repeats.try_spend(service, time, urgency));
    if (!allowed)
    {
        this->journal.add(no_call(
            choice ? decision::no_budget : decision::no_replica, time, shard,
            service, count_unavailable(candidates, state.asked)));
        if (state.calls.empty() && !state.part && !state.failed)
        {
            state.failed = true;
            ++this->failures;
        }
        return;
    }
    const leaf_id chosen = candidates[choice->index].target->id;
    const decision kind = !repeat               ? decision::call_first
                          : state.calls.empty() ? decision::call_retry
                                                : decision::call_hedge;
    this->repeats += repeat ? 1 : 0;
    const target_health& health = *candidates[choice->index].health;
    this->journal.add(
        call_made(kind, time, shard, chosen, choice->expected, health));
    state.hedge_at = time + this->plan.hedge_after;
    this->start_call(shard, chosen);
}

// A further send is a repeat unless no earlier call has left or still may.
template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::is_repeat(
    const shard_state& state) const
{
    return state.arrived || !state.calls.empty();
}

// Takes back the calls of a shard that still wait for a connection, so that
// they never arrive and another replica may be asked in their place.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take_back_unsent(shard_state& state)
{
    const auto unsent = [](const auto& call)
    {
        return !call->on_wire;
    };
    for (const auto& call : state.calls)
    {
        if (unsent(call))
        {
            this->shared.targets.give_up(call, milliseconds(0));
            this->journal.add(call_taken_back(
                this->now(),
                static_cast<std::size_t>(&state - this->shards.data()), *call));
            --state.sends;
        }
    }
    std::erase_if(state.calls, unsent);
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::start_call(std::size_t shard,
                                                    const leaf_id& to)
{
    shard_state& state = this->shards[shard];
    const auto call = std::make_shared<target_call>();
    call->query = this->query;
    call->to = to;
    call->route = this->rule.name;
    call->useful_until = this->plan.cutoff;
    call->deadline = this->plan.deadline;
    call->done = [weak = this->weak_from_this(), shard,
                  raw = std::weak_ptr<target_call>(call)](target_result result)
    {
        if (const auto session = weak.lock())
        {
            session->events.push({shard, raw.lock(), std::move(result)});
        }
    };
    state.asked.push_back(to);
    ++state.sends;
    state.calls.push_back(call);
    this->shared.targets.send(call);
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take(shard_event event)
{
    shard_state& state = this->shards[event.shard];
    std::erase(state.calls, event.call);
    this->note_result(event);
    if (event.result.end == call_end::unsent)
    {
        --state.sends;
    }
    else
    {
        state.arrived = true;
        if (event.result.end == call_end::broken && event.call)
        {
            this->broken.push_back(event.call->to);
        }
    }
    const target_reply& reply = event.result.reply;
    const bool part = event.result.end == call_end::answered &&
                      reply.success() && !reply.signature.empty();
    if (state.part)
    {
        return;
    }
    if (part)
    {
        state.part = std::move(event.result.reply);
        ++this->parts;
        for (const auto& other : state.calls)
        {
            this->shared.targets.give_up(other,
                                         gather_bounds::withdrawal_grace);
        }
        state.calls.clear();
        this->settle_held();
        return;
    }
    this->retry_or_fail(event.shard);
    this->settle_held();
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::note_result(const shard_event& event)
{
    this->journal.add(
        call_ended(this->now(), event.shard, event.call.get(), event.result));
}

// A call of this shard failed: asks another replica while that is allowed.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::retry_or_fail(std::size_t shard)
{
    shard_state& state = this->shards[shard];
    if (state.sends < this->rule.attempts)
    {
        if (this->is_suspect())
        {
            state.held = state.calls.empty();
            return;
        }
        this->ask(shard);
    }
    if (state.calls.empty() && !state.failed)
    {
        state.failed = true;
        ++this->failures;
    }
}

// Decides on the shards that wait for others to show whether the query breaks
// calls: they are asked again once a part is in, and have failed once no call
// is left that could bring one.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::settle_held()
{
    const bool any_call =
        std::ranges::any_of(this->shards, [](const shard_state& one)
                            { return !one.calls.empty(); });
    if (this->is_suspect() && any_call)
    {
        return;
    }
    for (std::size_t shard = 0; shard < this->shards.size(); ++shard)
    {
        shard_state& state = this->shards[shard];
        if (!std::exchange(state.held, false))
        {
            continue;
        }
        if (!this->is_suspect())
        {
            this->ask(shard);
        }
        if (state.calls.empty() && !state.failed)
        {
            state.failed = true;
            ++this->failures;
        }
    }
}

// Tells whether the query may be what breaks calls.
template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::is_suspect() const
{
    return this->parts == 0 &&
           this->broken.size() >= gather_bounds::suspect_breaks;
}

// Tells whether a shard that is slow is asked a second time when it is due.
template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::may_ask_again(
    const shard_state& state) const
{
    return !state.part && !state.failed && !state.held &&
           state.sends < this->rule.attempts && !this->is_suspect();
}

// Asks a second replica of the shards that have been quiet for too long.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::hedge_due(instant time)
{
    for (std::size_t shard = 0; shard < this->shards.size(); ++shard)
    {
        shard_state& state = this->shards[shard];
        if (this->may_ask_again(state) && time >= state.hedge_at)
        {
            this->ask(shard);
            state.hedge_at = this->plan.deadline;
        }
    }
}

template <runtime Runtime, target_transport Transport>
instant gather_session<Runtime, Transport>::next_wake(instant time) const
{
    instant next = this->plan.deadline;
    if (time < this->plan.cutoff)
    {
        next = std::min(next, this->plan.cutoff);
    }
    for (const shard_state& state : this->shards)
    {
        if (this->may_ask_again(state))
        {
            next = std::min(next, state.hedge_at);
        }
    }
    return next;
}

template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::out_of_reach() const
{
    return this->shards.size() - this->failures < this->needed;
}

// How a query ends that cannot reach its coverage any more: when no replica got
// any of it, it has not run.
template <runtime Runtime, target_transport Transport>
gather_end gather_session<Runtime, Transport>::lost_reach() const
{
    const bool any =
        std::ranges::any_of(this->shards, [this](const shard_state& one)
                            { return one.arrived || this->is_on_wire(one); });
    return any ? gather_end::out_of_reach : gather_end::not_attempted;
}

template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::is_on_wire(
    const shard_state& state) const
{
    return std::ranges::any_of(state.calls,
                               [](const auto& call) { return call->on_wire; });
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::give_up_calls()
{
    for (shard_state& state : this->shards)
    {
        for (const auto& call : state.calls)
        {
            this->shared.targets.give_up(call, gather_bounds::withdrawal_grace);
        }
        state.calls.clear();
    }
}

// Tells which calls broke, unless a replica has answered the query.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::note_crashes()
{
    if (this->broken.empty())
    {
        return;
    }
    const fingerprint print = fingerprint_of(*this->query);
    if (this->parts > 0)
    {
        this->shared.crashes.note_served(print);
        return;
    }
    for (const leaf_id& one : this->broken)
    {
        this->shared.crashes.note_broken(print, one, this->now());
    }
}

template <runtime Runtime, target_transport Transport>
gather_result gather_session<Runtime, Transport>::conclude(gather_end end)
{
    this->give_up_calls();
    this->note_crashes();
    gather_result result;
    result.end = end;
    result.failed = this->shards.size() - this->parts;
    result.repeats = this->repeats;
    if (end != gather_end::answered)
    {
        return result;
    }
    std::vector<std::string_view> bodies;
    for (const shard_state& state : this->shards)
    {
        if (state.part)
        {
            result.answer.signatures.push_back(state.part->signature);
            bodies.push_back(state.part->body);
        }
    }
    result.answer.missing = this->shards.size() - this->parts;
    result.answer.records =
        merge_records(bodies, this->rule.gather.most_records);
    return result;
}

template <runtime Runtime, target_transport Transport>
instant gather_session<Runtime, Transport>::now() const
{
    return to_instant(Runtime::clock::now());
}

} // namespace basilpath
