#pragma once

#include "process/log.hpp"
#include "process/slow_replicas.hpp"

namespace basilpath
{

namespace leaf_attempt_limits
{

using namespace std::chrono_literals;

inline constexpr microseconds check_timeout = 100ms;
inline constexpr microseconds cancel_timeout = 200ms;

/// The first wait before a lost leaf is asked whether it is up; a process that
/// ends closes its connections before its port.
inline constexpr microseconds check_delay = 1ms;

} // namespace leaf_attempt_limits

// Tells whether the leaf answers on a new connection.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<bool>
leaf_answers(relay_context<Runtime, Transport>& context,
             std::shared_ptr<leaf_state> leaf)
{
    http_request request;
    request.method = "GET";
    request.url = "/healthz";
    request.timeout = leaf_attempt_limits::check_timeout;
    request.fresh_connection = true;
    const http_reply reply =
        co_await context.transport.send(*leaf, std::move(request));
    co_return reply.outcome == http_outcome::answered&& reply.status < 500;
}

// Notes a leaf that cannot be reached.
template <runtime Runtime, leaf_transport Transport>
void note_lost(relay_context<Runtime, Transport>& context,
               const std::shared_ptr<leaf_state>& leaf)
{
    leaf->note_lost(context.now());
    context.slots->dispatch_later(leaf);
}

// Notes a leaf that went down while it ran a request.
template <runtime Runtime, leaf_transport Transport>
void note_crash(relay_context<Runtime, Transport>& context,
                const std::shared_ptr<leaf_state>& leaf, fingerprint print,
                standing sent_as)
{
    const instant now = context.now();
    ++context.counts.leaves_lost;
    note_lost(context, leaf);
    const standing found =
        context.quarantines.note_crash(print, leaf->id, now, sent_as);
    log_event(log_level::warning, "leaf_lost",
              {{"leaf", leaf->id.value},
               {"fingerprint", print.value},
               {"quarantined", found == standing::quarantined}});
    if (found == standing::quarantined)
    {
        context.report_quarantine(context.quarantines.describe(print, now));
    }
}

// Notes a leaf that ended a connection in mid-request. Only when it refuses a
// new one too has it gone down, and the request is suspected of it.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
note_dropped(relay_context<Runtime, Transport>& context,
             std::shared_ptr<leaf_state> leaf, fingerprint print,
             standing sent_as)
{
    typename Runtime::timer timer(context.owner.executor());
    timer.expires_after(leaf_attempt_limits::check_delay);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    const bool up = co_await leaf_answers(context, leaf);
    if (!up)
    {
        note_crash(context, leaf, print, sent_as);
    }
}

// Has the connections replaced that were made before a request went unanswered.
template <runtime Runtime, leaf_transport Transport>
void suspect_connections(relay_context<Runtime, Transport>& context,
                         leaf_state& leaf, instant sent_at)
{
    ++context.counts.silent_connections;
    leaf.suspect_connections(sent_at);
    log_event(log_level::warning, "connection_silent",
              {{"leaf", leaf.id.value}});
}

// Notes a reply that did not come. When a new connection works, the old ones
// have gone silent.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
note_silence(relay_context<Runtime, Transport>& context,
             std::shared_ptr<leaf_state> leaf, instant sent_at)
{
    const bool up = co_await leaf_answers(context, leaf);
    if (up)
    {
        suspect_connections(context, *leaf, sent_at);
    }
    else
    {
        note_lost(context, leaf);
    }
}

// Compares a leaf with its peers.
template <runtime Runtime, leaf_transport Transport>
void judge_leaf(relay_context<Runtime, Transport>& context,
                const leaf_attempt<Runtime>& attempt, leaf_state& leaf)
{
    const slowness_change change =
        judge_slowness(leaf, attempt.replicas, context.now());
    if (change == slowness_change::put_aside)
    {
        ++context.counts.put_aside;
        log_event(log_level::info, "leaf_put_aside",
                  {{"leaf", leaf.id.value},
                   {"latency_us", leaf.aside_latency.count()}});
    }
    if (change == slowness_change::taken_back)
    {
        log_event(log_level::info, "leaf_taken_back",
                  {{"leaf", leaf.id.value}});
    }
}

// Notes how long a leaf took, and judges it and those put aside anew.
template <runtime Runtime, leaf_transport Transport>
void note_latency(relay_context<Runtime, Transport>& context,
                  const leaf_attempt<Runtime>& attempt, leaf_state& leaf,
                  microseconds elapsed)
{
    leaf.latency.add(context.now(), elapsed);
    if (!context.policy.put_aside)
    {
        return;
    }
    for (const auto& one : attempt.replicas)
    {
        if (one.get() == &leaf || one->put_aside)
        {
            judge_leaf(context, attempt, *one);
        }
    }
}

// Notes what a reply tells without asking the leaf again.
template <runtime Runtime, leaf_transport Transport>
void note_reply(relay_context<Runtime, Transport>& context,
                const leaf_attempt<Runtime>& attempt,
                const std::shared_ptr<leaf_state>& leaf, leaf_verdict verdict,
                microseconds elapsed, bool measured)
{
    switch (verdict)
    {
    case leaf_verdict::served:
        leaf->note_served();
        context.quarantines.note_served(attempt.print);
        if (measured)
        {
            context.services[attempt.call.service].latency.record(context.now(),
                                                                  elapsed);
            note_latency(context, attempt, *leaf, elapsed);
        }
        break;
    case leaf_verdict::cancelled:
    case leaf_verdict::timed_out:
        // The leaf would have taken longer still.
        if (measured &&
            elapsed >
                leaf->latency.median(context.now()).value_or(microseconds(0)))
        {
            note_latency(context, attempt, *leaf, elapsed);
        }
        break;
    case leaf_verdict::busy:
        leaf->note_busy(context.now());
        context.slots->dispatch_later(leaf);
        break;
    case leaf_verdict::not_reached:
        note_lost(context, leaf);
        break;
    case leaf_verdict::draining:
        leaf->draining = true;
        context.slots->close(leaf);
        context.report_leaving(leaf->id);
        break;
    case leaf_verdict::crossed:
        ++context.counts.crossed_replies;
        break;
    case leaf_verdict::bad_reply:
        ++context.counts.bad_replies;
        break;
    default:
        break;
    }
}

template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<leaf_answer>
run_leaf_attempt(relay_context<Runtime, Transport>& context,
                 leaf_attempt<Runtime> attempt, slot_lease<Runtime> slot)
{
    const std::shared_ptr<leaf_state>& leaf = slot.leaf();
    const instant started = context.now();
    http_request request;
    request.url = "/v1/leaf";
    request.body = leaf_call_body(attempt.call);
    request.timeout = attempt.timeout;
    request.fresh_connection = attempt.call.execute;
    request.connection_age_limit = leaf->connection_age_limit(started);
    const http_reply reply =
        co_await context.transport.send(*leaf, std::move(request));
    leaf_answer answer = judge_reply(attempt.call, reply);
    const instant now = context.now();
    context.pauses.note(now);
    const bool measured = !context.pauses.paused_since(started);
    note_reply(context, attempt, leaf, answer.verdict, now - started, measured);
    if (answer.verdict == leaf_verdict::dropped && measured)
    {
        co_await note_dropped(context, leaf, attempt.print, attempt.sent_as);
    }
    if (answer.verdict == leaf_verdict::timed_out && measured &&
        !reply.new_connection)
    {
        co_await note_silence(context, leaf, started);
    }
    co_return answer;
}

template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
cancel_leaf_call(relay_context<Runtime, Transport>& context, leaf_call call,
                 std::shared_ptr<leaf_state> leaf)
{
    http_request request;
    request.url = "/v1/cancel";
    request.body = leaf_cancel_body(call);
    request.timeout = leaf_attempt_limits::cancel_timeout;
    ++context.counts.cancels;
    co_await context.transport.send(*leaf, std::move(request));
}

} // namespace basilpath
