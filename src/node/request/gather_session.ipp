#include "node/request/gather_session.hpp"

#include "node/request/record_merge.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace gather_bounds
{

/// The connection of an abandoned call is closed at once: under load the
/// replica's slot is worth more than the connection.
inline constexpr milliseconds abandon_grace{0};

} // namespace gather_bounds

template <runtime Runtime, target_transport Transport>
gather_session<Runtime, Transport>::gather_session(
    services& shared, std::shared_ptr<const route_table> table,
    const route& rule, std::shared_ptr<const caller_query> query,
    gather_times times, decision_trace& trace)
    : shared(shared), table(std::move(table)), rule(rule),
      query(std::move(query)), plan(plan_gather(rule, times)), trace(trace),
      progress(rule), events(shared.run)
{
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<gather_result> gather_session<Runtime, Transport>::run(
    std::shared_ptr<caller_presence> presence)
{
    const auto self = this->shared_from_this();
    const auto wake = [weak = this->weak_from_this()]
    {
        if (const auto session = weak.lock())
        {
            session->events.wake();
        }
    };
    presence->on_disconnect(wake);
    const boost::signals2::scoped_connection on_shutdown =
        this->shared.shutdown.on_set(wake);

    // Step 1. Fail at once when too few shards have a usable replica.
    this->choose_preferred_domain();
    if (this->shards_with_replica() < this->progress.needed())
    {
        co_return this->conclude(gather_end::not_attempted);
    }

    // Step 2. Call one replica of each shard.
    this->usual = this->shared.targets.latency(this->rule.name).usual;
    for (std::size_t shard = 0; shard < this->progress.all().size(); ++shard)
    {
        this->shared.repeats.note_request(this->rule.gather.shards[shard],
                                          this->now());
        this->call_replica(shard);
    }
    this->send_subqueries();
    if (this->progress.coverage_unreachable())
    {
        co_return this->conclude(this->unreachable_end());
    }

    // Step 3. Process results; send hedges and retries where they pay.
    while (true)
    {
        const auto until = this->next_wake(this->now());
        auto event = co_await this->events.pop_until(
            to_clock<typename Runtime::clock>(until));
        while (event)
        {
            std::visit([this](auto& one) { this->take(std::move(one)); },
                       *event);
            event = this->events.take();
        }
        this->send_subqueries();
        const instant time = this->now();
        if (presence->disconnected())
        {
            co_return this->conclude(gather_end::caller_left);
        }
        const bool stopping = this->shared.shutdown.reached(time);
        const bool final =
            this->progress.settled() || time >= this->plan.cutoff || stopping;
        if (this->progress.enough() && final)
        {
            co_return this->conclude(gather_end::answered);
        }
        if (this->progress.coverage_unreachable())
        {
            co_return this->conclude(this->unreachable_end());
        }
        if (stopping)
        {
            co_return this->conclude(this->progress.may_have_run()
                                         ? gather_end::timed_out
                                         : gather_end::not_attempted);
        }
        if (time >= this->plan.unsent_deadline &&
            !this->progress.may_have_run())
        {
            co_return this->conclude(gather_end::overloaded);
        }
        if (time >= this->plan.deadline)
        {
            co_return this->conclude(gather_end::timed_out);
        }
        this->hedge_due(time);
        this->send_subqueries();
    }
}

// Returns the inputs of a choice that are common to all shards.
template <runtime Runtime, target_transport Transport>
placement_query
gather_session<Runtime, Transport>::placement(instant time) const
{
    placement_query query;
    query.now = time;
    query.usual = this->usual;
    query.domain = &this->shared.targets.domain();
    query.preferred =
        this->preferred_domain ? &*this->preferred_domain : nullptr;
    query.latest_start = std::max(this->plan.cutoff, time);
    query.delegated = this->delegated_domains;
    return query;
}

// Counts the shards with a replica that may be called now. Shards whose
// replicas are at their limits count as demand.
template <runtime Runtime, target_transport Transport>
std::size_t gather_session<Runtime, Transport>::shards_with_replica()
{
    const placement_query query = this->placement(this->now());
    return static_cast<std::size_t>(std::ranges::count_if(
        this->rule.gather.shards,
        [this, &query](const service_name& service)
        {
            const auto candidates = this->shared.targets.candidates(service);
            const bool any = std::ranges::any_of(
                candidates, [&query](const candidate& one)
                { return is_eligible(one) && query.admits(one); });
            if (any)
            {
                return true;
            }
            const auto unavailable = count_unavailable(candidates, query);
            if (unavailable.limited > 0)
            {
                this->limited = true;
                this->shared.targets.note_unplaced(service);
            }
            this->evacuated = this->evacuated || unavailable.all_evacuated();
            return false;
        }));
}

// Sends the query to the best replica of a shard that has not had a call yet,
// directly or through a host in the replica's failure domain.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::call_replica(std::size_t number)
{
    gather_shard& shard = this->progress.shard(number);
    const service_name& service = this->rule.gather.shards[number];
    const instant time = this->now();
    const std::vector<candidate> candidates =
        this->shared.targets.candidates(service);
    placement_query place = this->placement(time);
    place.asked = shard.asked;
    place.random = this->shared.run.random();
    if (shard.direct_only)
    {
        place.delegated = {};
    }
    const auto choice = choose_replica(candidates, place);
    if (choice && !shard.idle() &&
        !is_hedge_useful(this->plan, time, choice->expected))
    {
        // The pending call may still answer in time; after the cutoff any
        // answer is useful, so the hedge is reconsidered then.
        shard.hedge_at = this->plan.cutoff;
        return;
    }
    if (choice && this->lacks_room(number, *candidates[choice->index].health))
    {
        shard.hedge_at =
            std::min(time + room_recheck_interval, this->plan.cutoff);
        return;
    }
    if (choice)
    {
        this->cancel_unsent(number);
    }
    const bool repeat = shard.next_is_repeat();
    const repeat_kind urgency =
        shard.idle() ? repeat_kind::retry : repeat_kind::hedge;
    const bool allowed =
        choice &&
        (!repeat || this->shared.repeats.try_spend(service, time, urgency));
    if (!allowed)
    {
        const auto unavailable = count_unavailable(candidates, place);
        this->trace.add(
            no_call_record(choice ? decision::no_budget : decision::no_replica,
                           time, number, service, unavailable));
        if (!choice && unavailable.limited > 0 && shard.idle())
        {
            this->limited = true;
            this->shared.targets.note_unplaced(service);
        }
        this->progress.fail_if_idle(shard);
        return;
    }
    const leaf_id chosen = candidates[choice->index].target->id;
    const decision kind = !repeat        ? decision::call_first
                          : shard.idle() ? decision::call_retry
                                         : decision::call_hedge;
    this->repeats += repeat ? 1 : 0;
    const failure_domain& domain = candidates[choice->index].target->domain;
    const bool remote =
        domain != this->shared.targets.domain() && !shard.direct_only;
    if (remote)
    {
        ++shard.delegations;
        this->delegations.choose({number, chosen, domain});
    }
    const replica_health& health = *candidates[choice->index].health;
    this->trace.add(
        call_record(kind, time, number, chosen, choice->expected, health));
    shard.hedge_at = time + this->plan.hedge_delay;
    if (!remote)
    {
        this->start_call(number, chosen);
    }
}

// Returns whether a call for a shard would run beside a pending one while no
// slot is free for it. After the cutoff any answer is useful.
template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::lacks_room(
    std::size_t number, const replica_health& health)
{
    gather_shard& shard = this->progress.shard(number);
    const instant time = this->now();
    const service_name& service = this->rule.gather.shards[number];
    if (!shard.next_runs_beside() || time >= this->plan.cutoff ||
        finds_room(health, time, this->shared.targets.room_is_scarce(service)))
    {
        return false;
    }
    if (!std::exchange(shard.held_back, true))
    {
        this->trace.add(
            no_call_record(decision::no_room, time, number, service, {}));
    }
    return true;
}

// Cancels the calls of a shard that still wait for a connection. They never
// reach a replica, so that a call to another one does not count as a repeat.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::cancel_unsent(std::size_t number)
{
    gather_shard& shard = this->progress.shard(number);
    const auto unsent = [](const auto& call)
    {
        return !call->on_wire;
    };
    for (const auto& call : shard.calls | std::views::filter(unsent))
    {
        this->shared.targets.abandon(call, milliseconds(0));
        this->trace.add(cancelled_call_record(this->now(), number, *call));
        --shard.sends;
    }
    std::erase_if(shard.calls, unsent);
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::start_call(std::size_t number,
                                                    const leaf_id& to)
{
    gather_shard& shard = this->progress.shard(number);
    const auto call = std::make_shared<target_call>();
    call->query = this->query;
    call->to = to;
    call->route = this->rule.name;
    call->soft_deadline = this->plan.cutoff;
    call->deadline = this->plan.deadline;
    call->done = [weak = this->weak_from_this(), number,
                  raw = std::weak_ptr<target_call>(call)](target_result result)
    {
        if (const auto session = weak.lock())
        {
            session->events.push(
                shard_event{number, raw.lock(), std::move(result)});
        }
    };
    call->purpose =
        shard.next_is_repeat()
            ? (shard.idle() ? call_purpose::retry : call_purpose::hedge)
            : call_purpose::first;
    shard.asked.push_back(to);
    shard.requested_at = shard.requested_at.value_or(this->now());
    ++shard.sends;
    shard.calls.push_back(call);
    this->shared.targets.send(call);
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take(shard_event event)
{
    gather_shard& shard = this->progress.shard(event.shard);
    std::erase(shard.calls, event.call);
    this->note_result(event);
    if (event.result.end == call_end::unsent)
    {
        --shard.sends;
    }
    else
    {
        ++shard.arrivals;
        shard.refusals += event.result.reply.not_executed ? 1 : 0;
        if (event.call && !shard.sent_at)
        {
            shard.sent_at = event.call->sent;
        }
        if (event.result.end == call_end::broken && event.call)
        {
            this->progress.note_broken(event.call->to, this->now());
        }
    }
    if (shard.part)
    {
        return;
    }
    const target_reply& reply = event.result.reply;
    const bool part = event.result.end == call_end::answered &&
                      reply.success() && !reply.signature.empty();
    if (part)
    {
        this->progress.add_part(shard, std::move(event.result.reply));
        this->abandon_calls(shard);
        this->cancel_shard(event.shard);
    }
    else
    {
        this->retry_or_fail(event.shard);
    }
    this->settle_deferred();
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::note_result(const shard_event& event)
{
    this->trace.add(call_result_record(this->now(), event.shard,
                                       event.call.get(), event.result));
}

// Retries a shard at another replica after a failed call, or counts it as
// failed. The retry is deferred while the query is suspected of breaking calls.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::retry_or_fail(std::size_t number)
{
    gather_shard& shard = this->progress.shard(number);
    if (this->progress.may_retry(shard))
    {
        if (this->progress.query_suspected())
        {
            shard.retry_deferred = shard.idle();
            return;
        }
        this->call_replica(number);
    }
    this->progress.fail_if_idle(shard);
}

// Decides the deferred retries: the shards are retried once a part of any shard
// has arrived, which shows that the query does not break calls, and fail once
// no call is pending that could bring a part.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::settle_deferred()
{
    for (const std::size_t number : this->progress.release_deferred())
    {
        if (!this->progress.query_suspected())
        {
            this->call_replica(number);
        }
        this->progress.fail_if_idle(this->progress.shard(number));
    }
}

// Sends hedges for the shards whose part is overdue.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::hedge_due(instant time)
{
    for (std::size_t i = 0; i < this->progress.all().size(); ++i)
    {
        gather_shard& shard = this->progress.shard(i);
        if (this->progress.may_hedge(shard) && time >= shard.hedge_at)
        {
            if (!shard.held_back)
            {
                this->note_overdue(i, time);
            }
            shard.hedge_at = this->plan.deadline;
            this->call_replica(i);
        }
    }
}

template <runtime Runtime, target_transport Transport>
instant gather_session<Runtime, Transport>::next_wake(instant time) const
{
    instant next = this->shared.shutdown.limit(this->plan.deadline);
    for (const instant one : {this->plan.cutoff, this->plan.unsent_deadline})
    {
        next = time < one ? std::min(one, next) : next;
    }
    return std::min(next, this->progress.next_hedge().value_or(next));
}

// Result of a query that cannot reach its coverage: it has not run when no
// replica received a call.
template <runtime Runtime, target_transport Transport>
gather_end gather_session<Runtime, Transport>::unreachable_end() const
{
    return this->progress.may_have_run() ? gather_end::coverage_unreachable
                                         : gather_end::not_attempted;
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::abandon_calls(gather_shard& shard)
{
    for (const auto& call : shard.calls)
    {
        // The part may have arrived through another host while the call still
        // waited for a connection.
        shard.sent_at =
            shard.sent_at.value_or(call->on_wire ? call->sent : this->now());
        call->request_answered = this->progress.any_part();
        this->shared.targets.abandon(call, gather_bounds::abandon_grace);
    }
    shard.calls.clear();
}

template <runtime Runtime, target_transport Transport>
gather_result gather_session<Runtime, Transport>::conclude(gather_end end)
{
    gather_result result;
    result.waited = this->progress.typical_wait(this->now());
    for (std::size_t i = 0; i < this->progress.all().size(); ++i)
    {
        this->abandon_calls(this->progress.shard(i));
    }
    for (const auto& [number, one] : this->delegations.all())
    {
        this->shared.delegates.cancel(number);
    }
    this->shared.crashes.note_end(*this->query, this->progress.any_part(),
                                  this->progress.broken(), this->now());
    result.end = end;
    result.limited = this->limited;
    result.evacuated = this->evacuated;
    result.failed = this->progress.missing();
    result.repeats = this->repeats;
    if (end != gather_end::answered)
    {
        return result;
    }
    std::vector<std::string_view> bodies;
    for (const gather_shard& one : this->progress.all())
    {
        if (one.part)
        {
            result.answer.signatures.push_back(one.part->signature);
            bodies.push_back(one.part->body);
        }
    }
    std::ranges::copy(this->delegations.records(), std::back_inserter(bodies));
    result.answer.missing = this->progress.missing();
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

#include "node/request/gather_session_remote.ipp"
