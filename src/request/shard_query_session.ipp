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
    this->unanswered = static_cast<std::size_t>(this->query.shards_size());
    if (const auto refused = this->find_version())
    {
        for (const std::uint32_t part : this->query.shards())
        {
            shard_outcome outcome;
            outcome.code = *refused;
            this->add({shard_number(part), outcome});
        }
        this->flush();
        co_return;
    }
    this->start_calls();
    co_await this->send_results();
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

// Starts one task for each shard.
template <runtime Runtime, leaf_transport Transport>
void shard_query_session<Runtime, Transport>::start_calls()
{
    for (const std::uint32_t part : this->query.shards())
    {
        auto one = std::make_shared<call>(this->context, this->work,
                                          this->version->shards[part]);
        this->calls.push_back(one);
        boost::asio::co_spawn(
            this->context.owner.executor(),
            [self = this->shared_from_this(), one, part]
            { return self->run_call(one, shard_number(part)); },
            boost::asio::detached);
    }
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
