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
inline constexpr microseconds probe_interval = 100ms;
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
    this->refused = this->refusal();
    if (this->refused)
    {
        this->outcome.code = *this->refused;
        co_return this->outcome;
    }
    this->probe();
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
            this->refused = this->refusal();
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
    if (this->known() == standing::quarantined)
    {
        return result_code::quarantined;
    }
    if (std::ranges::none_of(this->replicas, &leaf_state::open,
                             &std::shared_ptr<leaf_state>::operator*))
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

// What is known of the request's fingerprint.
template <runtime Runtime, leaf_transport Transport>
standing shard_call<Runtime, Transport>::known() const
{
    return this->context.quarantines.look_up(this->work->print,
                                             this->context.now());
}

// The replicas that were not asked yet; all, when every one was.
template <runtime Runtime, leaf_transport Transport>
auto shard_call<Runtime, Transport>::untried() const -> leaves
{
    const auto fresh = [this](const std::shared_ptr<leaf_state>& leaf)
    {
        return leaf->open() &&
               std::ranges::find(this->attempts, leaf, &attempt::leaf_of) ==
                   this->attempts.end();
    };
    leaves found;
    std::ranges::copy_if(this->replicas, std::back_inserter(found), fresh);
    if (found.empty())
    {
        std::ranges::copy_if(this->replicas, std::back_inserter(found),
                             &leaf_state::open,
                             &std::shared_ptr<leaf_state>::operator*);
    }
    return found;
}

// Waits for a slot and sends; false when no slot came in time. A request that
// a leaf was lost with runs alone, so that it is told from its neighbours.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<bool> shard_call<Runtime, Transport>::start_attempt()
{
    const instant asked = this->context.now();
    this->waiter = std::make_shared<slot_waiter<Runtime>>(
        this->context.owner, this->work->deadline, this->untried());
    this->waiter->value = this->work->value;
    const slot_use use =
        this->known() == standing::suspect ? slot_use::alone : slot_use::shared;
    auto slot = co_await this->context.slots->acquire(this->waiter, use);
    this->waiter.reset();
    this->outcome.queued += this->context.now() - asked;
    this->refused = this->refusal();
    if (!slot || this->cancelled || this->refused)
    {
        co_return false;
    }
    this->send(std::move(*slot));
    co_return true;
}

// The call as the next attempt words it.
template <runtime Runtime, leaf_transport Transport>
leaf_call shard_call<Runtime, Transport>::make_call()
{
    leaf_call call;
    call.request = this->work->request;
    call.attempt = attempt_number(++this->work->last_attempt);
    call.service = this->work->service;
    call.version = this->work->version;
    call.shard = this->part;
    call.budget = this->work->deadline - this->context.now();
    call.query = this->work->query;
    return call;
}

template <runtime Runtime, leaf_transport Transport>
leaf_attempt<Runtime>
shard_call<Runtime, Transport>::make_attempt(const leaf_call& call) const
{
    leaf_attempt<Runtime> made;
    made.print = this->work->print;
    made.sent_as = this->known();
    made.replicas = this->replicas;
    made.timeout = call.budget + shard_call_limits::reply_grace;
    made.call = call;
    return made;
}

// Starts the task of one attempt.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::send(lease slot)
{
    auto one = std::make_shared<attempt>();
    this->sent_at = this->context.now();
    one->leaf = slot.leaf();
    one->call = this->make_call();
    this->attempts.push_back(one);
    ++this->outcome.attempts;
    ++this->running;
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [self = this->shared_from_this(), one,
         slot = std::make_shared<lease>(std::move(slot))]
        { return self->run_attempt(one, std::move(*slot)); },
        boost::asio::detached);
}

// Runs one attempt to its reply.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_call<Runtime, Transport>::run_attempt(std::shared_ptr<attempt> one,
                                            lease slot)
{
    leaf_attempt<Runtime> sent = this->make_attempt(one->call);
    attempt_result ended;
    ended.of = one;
    ended.answer = co_await run_leaf_attempt(this->context, std::move(sent),
                                             std::move(slot));
    one->ended = true;
    this->context.counts.late_replies += this->finished ? 1 : 0;
    this->results.push(std::move(ended));
}

// Sends a duplicate to each replica that was put aside, now and then, to see
// whether it has recovered. Its reply is measured and not used.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::probe()
{
    const instant now = this->context.now();
    if (this->known() != standing::proven)
    {
        return;
    }
    for (const auto& leaf : this->replicas)
    {
        if (!leaf->put_aside || leaf->in_use > 0 || !leaf->has_room(now) ||
            now - leaf->probed_at < shard_call_limits::probe_interval ||
            !this->service.hedges.take())
        {
            continue;
        }
        leaf->probed_at = now;
        auto slot = this->context.slots->try_acquire({leaf});
        if (!slot)
        {
            continue;
        }
        ++this->context.counts.probes;
        boost::asio::co_spawn(
            this->context.owner.executor(),
            run_leaf_attempt(this->context,
                             this->make_attempt(this->make_call()),
                             std::move(*slot)),
            boost::asio::detached);
    }
}

// Asks a second replica, when one has a free slot and the budget allows.
template <runtime Runtime, leaf_transport Transport>
void shard_call<Runtime, Transport>::hedge()
{
    this->hedged = true;
    leaves others = this->untried();
    std::erase_if(others,
                  [this](const auto& leaf)
                  {
                      return std::ranges::find(this->attempts, leaf,
                                               &attempt::leaf_of) !=
                             this->attempts.end();
                  });
    if (others.empty() || this->known() == standing::suspect)
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
    if (result.answer.verdict == leaf_verdict::not_reached)
    {
        --this->outcome.attempts;
    }
    this->may_have_run =
        this->may_have_run || !certainly_not_run(result.answer.verdict);
    return false;
}

// Tells whether another attempt is worth its cost, and spends the budget. An
// attempt that reached no leaf or a draining one has cost nothing.
template <runtime Runtime, leaf_transport Transport>
bool shard_call<Runtime, Transport>::may_retry()
{
    const bool cost_nothing = this->last_verdict == leaf_verdict::not_reached ||
                              this->last_verdict == leaf_verdict::draining;
    if (this->context.now() >= this->work->deadline)
    {
        return false;
    }
    if (!cost_nothing &&
        (this->outcome.attempts >= shard_call_limits::attempts_most ||
         !this->service.retries.take()))
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
            boost::asio::co_spawn(
                this->context.owner.executor(),
                cancel_leaf_call(this->context, one->call, one->leaf),
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
    if (this->refused == result_code::quarantined)
    {
        return result_code::quarantined;
    }
    if (this->running > 0)
    {
        return result_code::deadline_exceeded;
    }
    if (this->attempts.empty() && this->refused)
    {
        return *this->refused;
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
