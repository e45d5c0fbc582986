#pragma once

#include "connection/http_client.hpp"
#include "process/system_state.hpp"

#include <algorithm>
#include <ranges>

namespace basilpath
{

namespace shard_call_limits
{

using namespace std::chrono_literals;

/// How long the reply to a call is awaited past the deadline, so that the slot
/// stays counted until the leaf is done with it.
inline constexpr microseconds reply_grace = 250ms;
inline constexpr microseconds cancel_timeout = 200ms;
inline constexpr std::size_t attempts_most = 4;
inline constexpr double hedge_quantile = 0.95;
inline constexpr int hedge_median_factor = 3;

} // namespace shard_call_limits

template <runtime Runtime, leaf_transport Transport>
shard_call<Runtime, Transport>::shard_call(context_type& context,
                                           std::shared_ptr<shard_work> work,
                                           const shard& part)
    : context(context), service(context.services[work->service]),
      work(std::move(work)), part(part.number),
      replicas(context.leaves.replicas(part)), results(context.owner)
{
}

// Gets the result: waits for a slot, sends, hedges when the reply is late, and
// tries again elsewhere when an attempt fails.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<shard_outcome> shard_call<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    const instant began = this->context.now();

    // Step 1. Refuse what cannot succeed.
    if (const auto refused = this->refusal())
    {
        this->outcome.code = *refused;
        co_return this->outcome;
    }
    ++this->context.counts.first_attempts;
    this->service.hedges.note_first();
    this->service.retries.note_first();

    while (!this->cancelled)
    {
        // Step 2. Send an attempt when none is in progress.
        if (this->running == 0 && !co_await this->start_attempt())
        {
            break;
        }

        // Step 3. Wait for a reply; hedge when it is late.
        const auto result = co_await this->results.pop_until(
            to_clock<typename Runtime::clock>(this->hedge_time()));
        if (!result && this->context.now() >= this->work->deadline)
        {
            break;
        }
        if (!result)
        {
            this->hedge();
            continue;
        }

        // Step 4. End with the first good reply, or see whether to try again.
        if (this->take_result(*result))
        {
            break;
        }
        if (this->running == 0 && !this->may_retry())
        {
            break;
        }
    }

    // Step 5. Stop what is still in progress.
    this->finished = true;
    this->cancel_attempts();
    if (this->outcome.code != result_code::complete)
    {
        this->outcome.code = this->failure();
    }
    this->outcome.elapsed = this->context.now() - began;
    this->outcome.attempts = static_cast<std::uint32_t>(this->attempts.size());
    co_return this->outcome;
}

template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::cancel()
{
    this->cancelled = true;
    if (this->waiter)
    {
        this->context.slots->abandon(*this->waiter);
    }
    this->results.wake();
}

// Says why the call cannot succeed, if that is known.
template <runtime Runtime, leaf_transport Transport>
std::optional<result_code> shard_call<Runtime, Transport>::refusal() const
{
    if (this->replicas.empty())
    {
        return result_code::no_replica;
    }
    const auto left = this->work->deadline - this->context.now();
    const auto best = this->service.latency.best();
    if (left <= microseconds(0))
    {
        return result_code::expired_before_send;
    }
    if (best && left < *best)
    {
        return result_code::budget_too_short;
    }
    return std::nullopt;
}

// The replicas that were not asked yet; all, when every one was.
template <runtime Runtime, leaf_transport Transport>
std::vector<std::shared_ptr<leaf_state>>
shard_call<Runtime, Transport>::untried() const
{
    const auto fresh = [this](const std::shared_ptr<leaf_state>& leaf)
    {
        return !leaf->leaving &&
               std::ranges::none_of(this->attempts, [&leaf](const auto& one)
                                    { return one->leaf == leaf; });
    };
    std::vector<std::shared_ptr<leaf_state>> found;
    std::ranges::copy_if(this->replicas, std::back_inserter(found), fresh);
    if (found.empty())
    {
        std::ranges::copy_if(this->replicas, std::back_inserter(found),
                             [](const auto& leaf) { return !leaf->leaving; });
    }
    return found;
}

// Waits for a slot and sends; false when no slot came in time.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<bool> shard_call<Runtime, Transport>::start_attempt()
{
    const instant asked = this->context.now();
    this->waiter = std::make_shared<slot_waiter<Runtime>>(
        this->context.owner, this->work->deadline, this->untried());
    auto slot = co_await this->context.slots->acquire(this->waiter);
    this->waiter.reset();
    this->outcome.queued += this->context.now() - asked;
    if (!slot || this->cancelled)
    {
        co_return false;
    }
    this->send(std::move(*slot));
    co_return true;
}

// Starts the task of one attempt.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::send(lease slot)
{
    auto one = std::make_shared<attempt>();
    this->sent_at = this->context.now();
    one->leaf = slot.leaf();
    one->call = {this->work->request,
                 attempt_number(++this->work->last_attempt),
                 this->work->service,
                 this->work->version,
                 this->part,
                 this->work->deadline - this->sent_at,
                 false,
                 this->work->query};
    this->attempts.push_back(one);
    ++this->running;
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [self = this->shared_from_this(), one,
         slot = std::make_shared<lease>(std::move(slot))]
        { return self->run_attempt(one, std::move(*slot)); },
        boost::asio::detached);
}

// Runs one attempt to its reply; the slot is held for as long.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_call<Runtime, Transport>::run_attempt(std::shared_ptr<attempt> one,
                                            lease slot)
{
    const instant started = this->context.now();
    http_request request;
    request.url = "/v1/leaf";
    request.body = leaf_call_body(one->call);
    request.timeout = one->call.budget + shard_call_limits::reply_grace;
    const http_reply reply =
        co_await this->context.transport.send(*slot.leaf(), std::move(request));
    leaf_answer answer = judge_reply(one->call, reply);
    one->ended = true;
    this->observe(*one, answer, this->context.now() - started);
    this->results.push({one, std::move(answer)});
}

// Tells the leaf that the reply is no longer wanted.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_call<Runtime, Transport>::send_cancel(std::shared_ptr<attempt> one)
{
    http_request request;
    request.url = "/v1/cancel";
    request.body = leaf_cancel_body(one->call);
    request.timeout = shard_call_limits::cancel_timeout;
    co_await this->context.transport.send(*one->leaf, std::move(request));
}

// Draws from a reply what it tells of the leaf.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::observe(const attempt& one,
                                             const leaf_answer& answer,
                                             microseconds elapsed)
{
    const instant now = this->context.now();
    auto& counts = this->context.counts;
    counts.late_replies += this->finished ? 1 : 0;
    switch (answer.verdict)
    {
    case leaf_verdict::served:
        one.leaf->note_served(now, elapsed);
        this->service.latency.record(now, elapsed);
        break;
    case leaf_verdict::busy:
        one.leaf->note_busy(now);
        this->context.slots->dispatch_later(one.leaf);
        break;
    case leaf_verdict::draining:
        one.leaf->leaving = true;
        this->context.report_leaving(one.leaf->id);
        break;
    case leaf_verdict::crossed:
        ++counts.crossed_replies;
        break;
    case leaf_verdict::bad_reply:
        ++counts.bad_replies;
        break;
    default:
        break;
    }
}

// Asks a second replica, when one has a free slot and the budget allows.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::hedge()
{
    this->hedged = true;
    const auto others = this->untried();
    const bool fresh = std::ranges::none_of(
        this->attempts, [&others](const auto& one)
        { return std::ranges::find(others, one->leaf) != others.end(); });
    if (others.empty() || !fresh)
    {
        return;
    }
    auto slot = this->context.slots->try_acquire(others);
    if (!slot || !this->service.hedges.take())
    {
        return;
    }
    ++this->outcome.hedges;
    ++this->context.counts.hedges;
    this->send(std::move(*slot));
}

// Takes the end of an attempt; true when it is the result.
template <runtime Runtime, leaf_transport Transport>
bool shard_call<Runtime, Transport>::take_result(const attempt_result& result)
{
    --this->running;
    if (result.answer.verdict == leaf_verdict::served)
    {
        this->outcome.code = result_code::complete;
        this->outcome.leaf = result.of->leaf->id;
        this->outcome.items = result.answer.items;
        return true;
    }
    this->last_verdict = result.answer.verdict;
    this->may_have_run =
        this->may_have_run || !certainly_not_run(result.answer.verdict);
    return false;
}

// Tells whether another attempt is worth its cost, and spends the budget.
template <runtime Runtime, leaf_transport Transport>
bool shard_call<Runtime, Transport>::may_retry() const
{
    if (this->attempts.size() >= shard_call_limits::attempts_most ||
        this->context.now() >= this->work->deadline ||
        !this->service.retries.take())
    {
        return false;
    }
    ++this->context.counts.retries;
    return true;
}

// When to stop waiting for the attempts in progress.
template <runtime Runtime, leaf_transport Transport>
instant shard_call<Runtime, Transport>::hedge_time() const
{
    const auto late =
        this->service.latency.quantile(shard_call_limits::hedge_quantile);
    const auto median = this->service.latency.quantile(0.5);
    if (!this->context.policy.hedge || this->hedged || !late || !median)
    {
        return this->work->deadline;
    }
    const microseconds delay =
        std::min(*late, shard_call_limits::hedge_median_factor * *median);
    return std::min(this->work->deadline, this->sent_at + delay);
}

// Cancels the attempts that have not ended.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::cancel_attempts()
{
    for (const auto& one : this->attempts)
    {
        if (!one->ended)
        {
            ++this->context.counts.cancels;
            boost::asio::co_spawn(
                this->context.owner.executor(),
                [self = this->shared_from_this(), one]
                { return self->send_cancel(one); },
                boost::asio::detached);
        }
    }
}

// The code of a call that got no good reply.
template <runtime Runtime, leaf_transport Transport>
result_code shard_call<Runtime, Transport>::failure() const
{
    if (this->cancelled)
    {
        return result_code::cancelled;
    }
    if (this->running > 0)
    {
        return result_code::deadline_exceeded;
    }
    if (!this->last_verdict)
    {
        return result_code::expired_before_send;
    }
    switch (*this->last_verdict)
    {
    case leaf_verdict::wrong_version:
        return this->may_have_run ? result_code::target_failed
                                  : result_code::unknown_version;
    case leaf_verdict::busy:
        return this->may_have_run ? result_code::target_failed
                                  : result_code::overloaded;
    case leaf_verdict::draining:
    case leaf_verdict::not_reached:
        return this->may_have_run ? result_code::target_failed
                                  : result_code::no_replica;
    case leaf_verdict::expired:
        return this->may_have_run ? result_code::deadline_exceeded
                                  : result_code::expired_before_send;
    case leaf_verdict::crossed:
    case leaf_verdict::bad_reply:
        return result_code::bad_reply;
    default:
        return result_code::target_failed;
    }
}

} // namespace basilpath
