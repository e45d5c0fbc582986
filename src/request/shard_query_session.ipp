#pragma once

#include "version/index_version.hpp"

#include <algorithm>

namespace basilpath
{

namespace shard_query_limits
{

/// Attempt numbers of one relay start at a multiple of this, so that a query
/// that comes again through another relay uses other numbers.
inline constexpr std::uint32_t attempt_range = 4096;

/// How often a query looks whether another of its kind has ended its trial.
inline constexpr microseconds turn_check_interval{1'000};

} // namespace shard_query_limits

template <runtime Runtime, leaf_transport Transport>
shard_query_session<Runtime, Transport>::shard_query_session(
    context_type& context, wire::ShardQuery query, reply_function reply)
    : context(context), query(std::move(query)), reply(std::move(reply)),
      work(std::make_shared<shard_work>()), results(context.owner)
{
    this->work->request = request_id(this->query.request());
    this->work->service = service_name(this->query.service());
    this->work->version = version_number(this->query.version());
    this->work->deadline =
        this->context.now() + microseconds(this->query.budget_us());
    this->work->value = worth(this->query.worth());
    this->work->print = fingerprint(this->query.fingerprint());
    this->work->query = this->query.query();
    this->work->last_attempt =
        this->query.attempt() * shard_query_limits::attempt_range;
    this->gathered.set_request(this->query.request());
    this->gathered.set_attempt(this->query.attempt());
}

template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void> shard_query_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    ++this->context.counts.queries;
    this->unstarted.assign(this->query.shards().begin(),
                           this->query.shards().end());
    std::ranges::sort(this->unstarted);
    const auto repeated = std::ranges::unique(this->unstarted);
    this->unstarted.erase(repeated.begin(), repeated.end());
    this->unanswered = this->unstarted.size();
    if (const auto refused = this->find_version())
    {
        this->refuse_rest(*refused);
    }
    else if (this->needs_trial())
    {
        co_await this->run_trial();
    }
    while (!this->unstarted.empty())
    {
        this->start_call(this->unstarted.front());
    }
    co_await this->send_results();
}

// Tells whether the query has yet to show that targets survive it. An entry
// sends several shards only of a query that has shown it.
template <runtime Runtime, leaf_transport Transport>
bool shard_query_session<Runtime, Transport>::needs_trial() const
{
    const standing known = this->context.quarantines.look_up(
        this->work->print, this->context.now());
    return known == standing::suspect ||
           (known == standing::unknown &&
            (this->query.canary() || this->query.shards_size() == 1));
}

// Runs one shard after the other until one is served; then the rest may run
// side by side. Only one query of a fingerprint is on trial at a time.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_query_session<Runtime, Transport>::run_trial()
{
    if (!co_await this->wait_for_turn())
    {
        co_return;
    }
    bool served = false;
    while (!served && !this->unstarted.empty() && !this->cancelled)
    {
        this->start_call(this->unstarted.front());
        const auto ended =
            co_await this->results.pop_until(Runtime::clock::time_point::max());
        if (ended.has_value())
        {
            served = ended->outcome.code == result_code::complete;
            this->add(*ended);
        }
    }
    this->context.quarantines.end_trial(this->work->print);
}

// Waits until no other query of the fingerprint is on trial; false when the
// query needs no trial any more or its time has run out.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<bool>
shard_query_session<Runtime, Transport>::wait_for_turn()
{
    typename Runtime::timer timer(this->context.owner.executor());
    while (!this->cancelled && this->needs_trial())
    {
        if (this->context.quarantines.begin_trial(this->work->print))
        {
            co_return true;
        }
        if (this->context.now() >= this->work->deadline)
        {
            this->refuse_rest(result_code::expired_before_send);
            break;
        }
        timer.expires_after(shard_query_limits::turn_check_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return false;
}

// Answers the shards that were not started with one code.
template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::refuse_rest(result_code code)
{
    for (const std::uint32_t part : this->unstarted)
    {
        shard_result refused;
        refused.part = shard_number(part);
        refused.outcome.code = code;
        this->add(refused);
    }
    this->unstarted.clear();
}

template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::cancel()
{
    this->cancelled = true;
    std::ranges::for_each(this->calls, &call::cancel);
    this->results.wake();
}

// Finds the version; says why the query is refused when there is none.
template <runtime Runtime, leaf_transport Transport>
std::optional<result_code>
shard_query_session<Runtime, Transport>::find_version()
{
    const auto& state = this->context.state;
    if (!state || !state->configuration)
    {
        return result_code::no_configuration;
    }
    const service* found =
        state->configuration->find_service(this->work->service);
    if (found == nullptr)
    {
        return result_code::unknown_service;
    }
    const auto match =
        std::ranges::find(found->versions, this->work->version,
                          [](const auto& one) { return one->number; });
    if (match == found->versions.end())
    {
        return result_code::unknown_version;
    }
    this->version = *match;
    const auto known = [this](std::uint32_t part)
    {
        return part < this->version->shards.size();
    };
    return std::ranges::all_of(this->query.shards(), known)
               ? std::optional<result_code>()
               : result_code::malformed_request;
}

// Starts the task of one shard.
template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::start_call(std::uint32_t part)
{
    std::erase(this->unstarted, part);
    auto one = std::make_shared<call>(this->context, this->work,
                                      this->version->shards[part]);
    this->calls.push_back(one);
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [self = this->shared_from_this(), one, part]
        { return self->run_call(one, shard_number(part)); },
        boost::asio::detached);
}

template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_query_session<Runtime, Transport>::run_call(std::shared_ptr<call> one,
                                                  shard_number part)
{
    shard_result ended;
    ended.part = part;
    ended.outcome = co_await one->run();
    this->results.push(std::move(ended));
}

// Sends results when all are there, or when the first of those not sent has
// waited long enough.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<void>
shard_query_session<Runtime, Transport>::send_results()
{
    using clock = typename Runtime::clock;
    instant flush_at = instant::max();
    if (this->unanswered == 0)
    {
        this->flush();
    }
    while (this->unanswered > 0 && !this->cancelled)
    {
        auto ended = co_await this->results.pop_until(
            flush_at == instant::max() ? clock::time_point::max()
                                       : to_clock<clock>(flush_at));
        while (ended.has_value())
        {
            this->add(*ended);
            ended = this->results.take();
        }
        const instant now = this->context.now();
        if (this->unanswered == 0 || now >= flush_at)
        {
            this->flush();
            flush_at = instant::max();
        }
        else if (flush_at == instant::max() &&
                 this->gathered.results_size() > 0)
        {
            flush_at = now + this->context.policy.gather_time;
        }
    }
}

// Adds one result to those that wait to be sent.
template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::add(const shard_result& ended)
{
    const shard_outcome& outcome = ended.outcome;
    wire::ShardResult& result = *this->gathered.add_results();
    result.set_shard(ended.part.value);
    result.set_code(static_cast<std::uint32_t>(outcome.code));
    result.set_version(this->work->version.value);
    result.set_leaf(outcome.leaf.value);
    result.set_items(outcome.items);
    result.set_elapsed_us(static_cast<std::uint64_t>(outcome.elapsed.count()));
    result.set_queued_us(static_cast<std::uint64_t>(outcome.queued.count()));
    result.set_attempts(outcome.attempts);
    result.set_hedges(outcome.hedges);
    --this->unanswered;
}

// Sends the results gathered so far.
template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::flush()
{
    if (this->gathered.results_size() == 0 || this->cancelled)
    {
        return;
    }
    wire::Envelope message;
    *message.mutable_shard_results() = this->gathered;
    this->reply(std::move(message));
    this->gathered.clear_results();
}

} // namespace basilpath
