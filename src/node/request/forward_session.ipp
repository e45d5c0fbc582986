#include "node/request/forward_session.hpp"

#include "node/request/broken_call.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace forward_bounds
{

/// How long an abandoned call may run on. The connection of a longer one is
/// closed, so that the replica stops working for a caller that is gone.
inline constexpr milliseconds abandon_grace{200};

} // namespace forward_bounds

template <runtime Runtime, target_transport Transport>
forward_session<Runtime, Transport>::forward_session(
    services& shared, std::shared_ptr<const route_table> table,
    const route& rule, service_name service,
    std::shared_ptr<const caller_query> query, forward_times times,
    decision_trace& trace)
    : shared(shared), table(std::move(table)), rule(rule),
      service(std::move(service)), query(std::move(query)),
      plan(plan_forward(rule, times)), trace(trace), events(shared.run)
{
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<forward_result> forward_session<Runtime, Transport>::run(
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
    this->shared.repeats.note_request(this->service, this->now());
    if (!this->call_replica())
    {
        co_return this->conclude(forward_end::not_run);
    }
    while (true)
    {
        const bool may_hedge =
            this->rule.idempotent && this->sends < this->rule.attempts;
        const instant deadline =
            this->shared.shutdown.limit(this->plan.deadline);
        const instant until =
            may_hedge ? std::min(this->hedge_at, deadline) : deadline;
        auto event = co_await this->events.pop_until(
            to_clock<typename Runtime::clock>(until));
        while (event)
        {
            auto ended = this->take(std::move(*event));
            if (ended)
            {
                co_return std::move(*ended);
            }
            event = this->events.take();
        }
        const instant time = this->now();
        if (presence->disconnected())
        {
            co_return this->conclude(forward_end::caller_left);
        }
        if (this->shared.shutdown.reached(time) || time >= this->plan.deadline)
        {
            co_return this->conclude(this->unanswered_end());
        }
        if (may_hedge && time >= this->hedge_at)
        {
            this->call_replica();
            this->hedge_at = this->plan.deadline;
        }
    }
}

// Sends the request to the best replica that has not had a call yet. Returns
// false when there is none or the retry budget is spent.
template <runtime Runtime, target_transport Transport>
bool forward_session<Runtime, Transport>::call_replica()
{
    const instant time = this->now();
    if (this->shared.shutdown.reached(time))
    {
        return false;
    }
    const std::vector<candidate> candidates =
        this->shared.targets.candidates(this->service);
    const microseconds usual =
        this->shared.targets.latency(this->rule.name).usual;
    placement_query place;
    place.now = time;
    place.usual = usual;
    place.domain = &this->shared.targets.domain();
    place.asked = this->asked;
    place.random = this->shared.run.random();
    place.latest_start = std::max(this->plan.objective, time);
    place.repeatable = this->rule.idempotent;
    const auto choice = choose_replica(candidates, place);
    if (choice)
    {
        this->cancel_unsent();
    }
    const bool repeat = this->is_repeat();
    if (!choice ||
        (repeat && !this->shared.repeats.try_spend(this->service, time)))
    {
        const auto unavailable = count_unavailable(candidates, place);
        this->trace.add(
            no_call_record(choice ? decision::no_budget : decision::no_replica,
                           time, 0, this->service, unavailable));
        if (!choice && unavailable.limited > 0 && this->calls.empty())
        {
            this->room_in = shortest_limit_wait(candidates, time);
            this->shared.targets.note_unplaced(this->service);
        }
        this->evacuated = unavailable.all_evacuated();
        return false;
    }
    const replica_health& health = *candidates[choice->index].health;
    const decision kind = !repeat               ? decision::call_first
                          : this->calls.empty() ? decision::call_retry
                                                : decision::call_hedge;
    this->trace.add(call_record(kind, time, 0,
                                candidates[choice->index].target->id,
                                choice->expected, health));
    const auto call = std::make_shared<target_call>();
    call->query = this->query;
    call->to = candidates[choice->index].target->id;
    call->route = this->rule.name;
    call->soft_deadline = this->plan.objective;
    call->deadline = this->plan.deadline;
    call->purpose = !repeat               ? call_purpose::first
                    : this->calls.empty() ? call_purpose::retry
                                          : call_purpose::hedge;
    call->needs_reliable_connection = !this->rule.idempotent;
    call->done = [weak = this->weak_from_this(),
                  raw = std::weak_ptr<target_call>(call)](target_result result)
    {
        if (const auto session = weak.lock())
        {
            session->events.push({raw.lock(), std::move(result)});
        }
    };
    this->asked.push_back(call->to);
    this->calls.push_back(call);
    this->hedge_at = time + this->plan.hedge_delay;
    ++this->sends;
    this->shared.targets.send(call);
    return true;
}

// Returns how a request ends whose pending calls are abandoned: it has not run
// when they all still wait for a connection.
template <runtime Runtime, target_transport Transport>
forward_end forward_session<Runtime, Transport>::unanswered_end() const
{
    const bool any_sent = std::ranges::any_of(this->calls, [](const auto& call)
                                              { return call->on_wire; });
    return any_sent || this->may_have_run ? forward_end::may_have_run
                                          : forward_end::not_run;
}

// Returns whether a further call counts as a repeat: an earlier one has been
// sent or still may be.
template <runtime Runtime, target_transport Transport>
bool forward_session<Runtime, Transport>::is_repeat() const
{
    return this->reached_replica || !this->calls.empty();
}

// Cancels the calls that still wait for a connection. They never reach a
// replica, so that a call to another one does not count as a repeat.
template <runtime Runtime, target_transport Transport>
void forward_session<Runtime, Transport>::cancel_unsent()
{
    const auto unsent = [](const auto& call)
    {
        return !call->on_wire;
    };
    for (const auto& call : this->calls)
    {
        if (unsent(call))
        {
            this->shared.targets.abandon(call, milliseconds(0));
            this->trace.add(cancelled_call_record(this->now(), 0, *call));
            --this->sends;
        }
    }
    std::erase_if(this->calls, unsent);
}

// Processes the result of a call; returns the result of the request when the
// request ends with it.
template <runtime Runtime, target_transport Transport>
std::optional<forward_result>
forward_session<Runtime, Transport>::take(call_event event)
{
    std::erase(this->calls, event.call);
    this->trace.add(
        call_result_record(this->now(), 0, event.call.get(), event.result));
    target_result& result = event.result;
    if (result.end == call_end::unsent)
    {
        --this->sends;
    }
    else
    {
        this->reached_replica = true;
    }
    const bool answered = result.end == call_end::answered;
    const bool ran = (answered && !result.reply.not_executed) ||
                     result.end == call_end::broken;
    this->may_have_run = this->may_have_run || ran;
    if (result.end == call_end::broken && event.call)
    {
        this->any_broken = true;
        this->shared.crashes.note_broken(fingerprint_of(*this->query),
                                         {event.call->to, this->now()},
                                         this->now());
    }
    const bool own_answer = answered && ran && !result.reply.unattributed;
    const bool final_answer =
        own_answer && (result.reply.success() || !this->rule.idempotent);
    if (final_answer && this->contradicts_run(result.reply))
    {
        return this->conclude(forward_end::contradicted);
    }
    if (final_answer)
    {
        this->failure = std::move(result.reply);
        return this->conclude(forward_end::answered);
    }
    if (own_answer)
    {
        this->failure = std::move(result.reply);
    }
    const bool repeatable =
        (this->rule.idempotent || !this->may_have_run) && !this->crashes();
    const bool more = this->sends < this->rule.attempts;
    if (repeatable && more && this->call_replica())
    {
        return std::nullopt;
    }
    if (!this->calls.empty())
    {
        return std::nullopt;
    }
    if (this->failure)
    {
        return this->conclude(forward_end::answered);
    }
    return this->conclude(this->may_have_run ? forward_end::may_have_run
                                             : forward_end::not_run);
}

// Returns whether an answer must not be passed on, since its caller would send
// the request again, which then runs twice.
template <runtime Runtime, target_transport Transport>
bool forward_session<Runtime, Transport>::contradicts_run(
    const target_reply& reply) const
{
    return !this->rule.idempotent && states_not_run(reply.status);
}

// Returns whether the request is quarantined because it crashes replicas.
template <runtime Runtime, target_transport Transport>
bool forward_session<Runtime, Transport>::crashes() const
{
    return this->any_broken && this->shared.crashes.quarantined(
                                   fingerprint_of(*this->query), this->now());
}

template <runtime Runtime, target_transport Transport>
forward_result forward_session<Runtime, Transport>::conclude(forward_end end)
{
    const bool answered =
        end == forward_end::answered || end == forward_end::contradicted;
    if (this->any_broken && answered)
    {
        this->shared.crashes.note_served(fingerprint_of(*this->query));
    }
    for (const auto& call : this->calls)
    {
        call->request_answered = answered;
        this->shared.targets.abandon(call, forward_bounds::abandon_grace);
    }
    this->calls.clear();
    forward_result result;
    result.end = end;
    result.repeats = this->sends > 0 ? this->sends - 1 : 0;
    result.room_in = this->room_in;
    result.evacuated = this->evacuated;
    if (this->failure)
    {
        result.reply = std::move(*this->failure);
    }
    return result;
}

template <runtime Runtime, target_transport Transport>
instant forward_session<Runtime, Transport>::now() const
{
    return to_instant(Runtime::clock::now());
}

} // namespace basilpath
