#include "node/process/query_service.hpp"

#include "node/request/forward_session.ipp"
#include "node/request/gather_session.ipp"
#include "process/log.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply> query_service<Runtime, Transport>::answer(
    std::shared_ptr<const caller_query> query,
    std::shared_ptr<caller_presence> presence)
{
    const auto table = this->routes;
    if (!table)
    {
        this->record_unrouted(*query, 503, "no_configuration");
        const auto range = retry_after_configuration(
            query->arrived - this->unconfigured_since,
            query->caller_timeout.value_or(
                retry_after_bounds::assumed_caller_timeout));
        co_return caller_reply{
            503, {}, "no configuration yet\n", this->draw_retry_after(range),
            {},  {}};
    }
    const std::string_view path =
        std::string_view(query->target).substr(0, query->target.find('?'));
    const route* const rule = table->find(query->host, path);
    if (!rule)
    {
        this->record_unrouted(*query, 404, "no_route");
        co_return caller_reply{404, {}, "no such route\n", {}, {}, {}};
    }
    if (this->shared.shutdown.refuses(query->arrived))
    {
        this->record_unrouted(*query, 503, "host_stopping");
        co_return caller_reply{
            503,
            {},
            "this host stops\n",
            this->draw_retry_after(retry_after_bounds::after_failure),
            {},
            {}};
    }
    if (this->shared.crashes.quarantined(fingerprint_of(*query),
                                         query->arrived))
    {
        this->record_unrouted(*query, 502, "quarantined");
        co_return caller_reply{502, {}, "this request crashes replicas\n",
                               {},  {}, {}};
    }
    const milliseconds caller_timeout =
        query->caller_timeout.value_or(rule->timeout);
    const auto state = std::make_shared<request_state>(
        request_state{table, *rule, query, std::move(presence), {}, {}});
    state->summary.id = query->id;
    state->summary.route = rule->name;
    state->summary.version = table->version();
    state->summary.arrived = query->arrived;
    state->summary.caller_timeout = caller_timeout;
    state->summary.spent =
        this->spent(*rule, caller_timeout) + state->presence->request_delay();
    caller_reply reply;
    if (rule->gathers())
    {
        reply = co_await this->gather(state);
    }
    else
    {
        reply = co_await this->forward(state);
    }
    if (reply.status < 300)
    {
        this->shared.crashes.note_answered(*query);
    }
    this->record_end(*state, reply);
    co_return reply;
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply>
query_service<Runtime, Transport>::gather(state_pointer state)
{
    const route& rule = state->rule;
    const service_name& first = rule.gather.shards.front();
    const instant arrived = state->query->arrived;
    const auto admitted = this->gate.admit(
        first, arrived, arrived + rule.objective - state->summary.spent);
    if (!admitted)
    {
        state->trace.add(
            gate_refusal_record(arrived, first, this->gate.usage(first)));
        co_return this->refuse(*state, 503, "overloaded",
                               retry_after_bounds::after_overload);
    }
    state->trace.reserve(rule.gather.shards.size() * 2);
    const gather_times times{state->query->arrived, state->summary.spent,
                             state->presence->reply_delay(),
                             state->summary.caller_timeout,
                             this->shared.targets.latency(rule.name).slow};
    const auto session = std::make_shared<gather_session<Runtime, Transport>>(
        this->shared, state->table, rule, state->query, times, state->trace);
    gather_result result = co_await session->run(state->presence);
    this->gate.release(*admitted, to_instant(Runtime::clock::now()),
                       result.waited, rule.objective);
    state->summary.shards = rule.gather.shards.size();
    state->summary.parts = state->summary.shards - result.failed;
    state->summary.repeats = result.repeats;
    switch (result.end)
    {
    case gather_end::answered:
        state->summary.outcome =
            result.answer.missing == 0 ? "answered" : "answered_partly";
        co_return caller_reply{200,
                               {},
                               std::move(result.answer.records),
                               {},
                               std::move(result.answer.signatures),
                               result.answer.missing};
    case gather_end::not_attempted:
        if (this->stopping())
        {
            co_return this->refuse(*state, 503, "host_stopping");
        }
        if (result.limited)
        {
            co_return this->refuse(*state, 503, "replicas_at_limit",
                                   retry_after_bounds::after_overload);
        }
        co_return this->refuse(*state, 503,
                               result.evacuated ? "replicas_evacuated"
                                                : "too_few_replicas");
    case gather_end::overloaded:
        co_return this->refuse(*state, 503, "overloaded",
                               retry_after_bounds::after_overload);
    case gather_end::coverage_unreachable:
        co_return this->refuse(*state, 502, "too_many_shards_failed");
    case gather_end::caller_left:
        co_return this->refuse(*state, 504, "caller_left");
    case gather_end::timed_out:
        break;
    }
    co_return this->refuse(*state, 504,
                           this->stopping() ? "host_stopped_may_have_run"
                                            : "too_few_shards_in_time");
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<caller_reply>
query_service<Runtime, Transport>::forward(state_pointer state)
{
    const route& rule = state->rule;
    const forward_times times{state->query->arrived,
                              state->summary.caller_timeout,
                              this->shared.targets.latency(rule.name).slow};
    const auto session = std::make_shared<forward_session<Runtime, Transport>>(
        this->shared, state->table, rule, this->choose_part(rule), state->query,
        times, state->trace);
    forward_result result = co_await session->run(state->presence);
    state->summary.repeats = result.repeats;
    switch (result.end)
    {
    case forward_end::answered:
        state->summary.outcome =
            result.reply.success() ? "answered" : "replica_failed";
        co_return caller_reply{result.reply.status,
                               std::move(result.reply.headers),
                               std::move(result.reply.body),
                               {},
                               {},
                               {},
                               std::move(result.reply.memory)};
    case forward_end::not_run:
        if (this->stopping())
        {
            co_return this->refuse(*state, 503, "host_stopping");
        }
        if (result.room_in)
        {
            co_return this->refuse(*state, 503, "replicas_at_limit",
                                   retry_after_room(*result.room_in));
        }
        co_return this->refuse(*state, 503,
                               result.evacuated ? "replicas_evacuated"
                                                : "no_replica_could_run_it");
    case forward_end::caller_left:
        co_return this->refuse(*state, 504, "caller_left");
    case forward_end::contradicted:
        // Without the signature of the replica, which is bound to its status.
        co_return this->refuse(*state, 502, "replica_failed_may_have_run");
    case forward_end::may_have_run:
        break;
    }
    co_return this->refuse(*state, 504,
                           this->stopping() ? "host_stopped_may_have_run"
                                            : "no_answer_may_have_run");
}

// Returns whether the sessions end because the host stops.
template <runtime Runtime, target_transport Transport>
bool query_service<Runtime, Transport>::stopping() const
{
    return this->shared.shutdown.reached(to_instant(Runtime::clock::now()));
}

// Counts and logs a request that is answered without a session.
template <runtime Runtime, target_transport Transport>
void query_service<Runtime, Transport>::record_unrouted(
    const caller_query& query, unsigned status, const std::string& outcome)
{
    request_summary summary;
    summary.id = query.id;
    summary.outcome = outcome;
    summary.status = status;
    summary.arrived = query.arrived;
    summary.noteworthy = true;
    if (this->routes)
    {
        summary.version = this->routes->version();
    }
    const decision_trace none;
    this->shared.metrics.note(summary, none);
    this->shared.log.note(summary, none, query.arrived);
}

// Counts and logs a request that has ended.
template <runtime Runtime, target_transport Transport>
void query_service<Runtime, Transport>::record_end(request_state& state,
                                                   const caller_reply& reply)
{
    const instant time = to_instant(Runtime::clock::now());
    request_summary& summary = state.summary;
    summary.status = reply.status;
    summary.took = time - summary.arrived;
    summary.noteworthy = reply.status >= 300 ||
                         reply.missing_parts.value_or(0) > 0 ||
                         summary.took + summary.spent > state.rule.objective;
    this->shared.metrics.note(summary, state.trace);
    this->shared.log.note(summary, state.trace, time);
}

template <runtime Runtime, target_transport Transport>
caller_reply
query_service<Runtime, Transport>::refuse(request_state& state, unsigned status,
                                          const std::string& outcome)
{
    return this->refuse(state, status, outcome,
                        retry_after_bounds::after_failure);
}

template <runtime Runtime, target_transport Transport>
caller_reply
query_service<Runtime, Transport>::refuse(request_state& state, unsigned status,
                                          const std::string& outcome,
                                          const retry_after_range& range)
{
    state.summary.outcome = outcome;
    return {
        status, {}, state.summary.outcome + "\n", this->draw_retry_after(range),
        {},     {}};
}

template <runtime Runtime, target_transport Transport>
milliseconds query_service<Runtime, Transport>::draw_retry_after(
    const retry_after_range& range)
{
    const auto spread =
        static_cast<std::uint64_t>((range.longest - range.shortest).count());
    return range.shortest + milliseconds(static_cast<std::int64_t>(
                                this->shared.run.random() % spread));
}

// Returns how long the caller waited in earlier attempts: a first attempt has
// the longest timeout, later ones what is left of it.
template <runtime Runtime, target_transport Transport>
milliseconds
query_service<Runtime, Transport>::spent(const route& rule,
                                         milliseconds caller_timeout)
{
    milliseconds& first = this->longest_caller_timeout[rule.name];
    first = std::max(first, caller_timeout);
    return first - caller_timeout;
}

template <runtime Runtime, target_transport Transport>
service_name query_service<Runtime, Transport>::choose_part(const route& rule)
{
    if (rule.parts.size() == 1)
    {
        return rule.parts.front().service;
    }
    auto found = this->splits.find(rule.name);
    if (found == this->splits.end())
    {
        found =
            this->splits
                .emplace(rule.name, request_split(this->shared.run.random()))
                .first;
    }
    return found->second.next(rule.parts);
}

} // namespace basilpath
