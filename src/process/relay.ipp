#pragma once

#include "process/log.hpp"
#include "process/system_state.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace relay_limits
{

inline constexpr std::chrono::milliseconds pause_check_interval{20};

/// Requests to execute that are remembered so that none runs twice.
inline constexpr std::size_t remembered_executes = 100'000;

} // namespace relay_limits

// What is left of a budget when the message has been this long on the way.
inline std::uint64_t budget_after(std::uint64_t budget_us,
                                  std::uint64_t delay_us)
{
    return budget_us - std::min(budget_us, delay_us);
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
relay<Runtime, Transport, Peers>::relay(Runtime& owner, Transport& transport,
                                        Peers& peers,
                                        const relay_policy& policy)
    : context(owner, transport, policy), peers(peers),
      executed(relay_limits::remembered_executes)
{
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::start()
{
    boost::asio::co_spawn(this->context.owner.executor(), this->watch_pauses(),
                          boost::asio::detached);
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::apply(
    const std::shared_ptr<const system_state>& state)
{
    this->context.state = state;
    this->context.leaves.apply(*this->context.state);
    for (const auto& [id, leaf] : this->context.leaves.all())
    {
        if (!leaf->open())
        {
            this->context.slots->close(leaf);
        }
    }
    for (const auto& [print, until] : state->quarantines)
    {
        this->context.quarantines.merge(print, to_instant(until),
                                        this->context.now());
    }
    if (!this->context.state->configuration)
    {
        return;
    }
    for (const auto& [name, one] : this->context.state->configuration->services)
    {
        service_record& record = this->context.services[name];
        record.hedges.set_share(one.hedge_share);
        record.retries.set_share(one.retry_share);
    }
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::receive(const peer_address& from,
                                               wire::Envelope message)
{
    const std::uint64_t delay = message.delay_us();
    if (message.has_shard_query())
    {
        wire::ShardQuery& query = *message.mutable_shard_query();
        query.set_budget_us(budget_after(query.budget_us(), delay));
        this->start_query(from, std::move(query));
    }
    else if (message.has_leaf_execute())
    {
        wire::LeafExecute& request = *message.mutable_leaf_execute();
        request.set_budget_us(budget_after(request.budget_us(), delay));
        this->start_execute(from, std::move(request));
    }
    else if (message.has_cancel_query())
    {
        const auto [first, last] = this->queries.equal_range(
            request_id(message.cancel_query().request()));
        for (auto one = first; one != last; ++one)
        {
            if (const auto session = one->second.lock())
            {
                session->cancel();
            }
        }
    }
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::shut_down()
{
    this->leaving = true;
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
std::size_t relay<Runtime, Transport, Peers>::in_progress() const
{
    return this->sessions;
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::start_query(const peer_address& from,
                                                   wire::ShardQuery query)
{
    if (this->leaving)
    {
        this->refuse(from, query, result_code::shutting_down);
        return;
    }
    const request_id name(query.request());
    auto one = std::make_shared<query_session>(
        this->context, std::move(query),
        [this, from](wire::Envelope reply)
        { this->peers.send(from, std::move(reply)); });
    this->queries.emplace(name, one);
    ++this->sessions;
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [this, one, name] { return this->run_query(one, name); },
        boost::asio::detached);
}

// Runs a session and forgets it when it has ended.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
boost::asio::awaitable<void>
relay<Runtime, Transport, Peers>::run_query(std::shared_ptr<query_session> one,
                                            request_id name)
{
    co_await one->run();
    --this->sessions;
    const auto [first, last] = this->queries.equal_range(name);
    const auto found = std::find_if(first, last,
                                    [&one](const auto& entry)
                                    { return entry.second.lock() == one; });
    if (found != last)
    {
        this->queries.erase(found);
    }
}

// Starts a request to execute. One that is known is not run again: its result
// is told again, or will be told when it has ended.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::start_execute(const peer_address& from,
                                                     wire::LeafExecute request)
{
    const request_id name(request.request());
    if (const auto known = this->executed.find(name))
    {
        this->answer(from, *known);
        return;
    }
    if (this->leaving)
    {
        wire::LeafExecuteResult refusal;
        refusal.set_request(request.request());
        refusal.set_code(
            static_cast<std::uint32_t>(result_code::shutting_down));
        this->answer(from, refusal);
        return;
    }
    if (!this->executed.add(name))
    {
        return;
    }
    auto one = std::make_shared<execution>(this->context, std::move(request));
    ++this->sessions;
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [this, one, from] { return this->run_execute(one, from); },
        boost::asio::detached);
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
boost::asio::awaitable<void>
relay<Runtime, Transport, Peers>::run_execute(std::shared_ptr<execution> one,
                                              peer_address from)
{
    const wire::LeafExecuteResult result = co_await one->run();
    this->executed.finish(result);
    this->answer(from, result);
    --this->sessions;
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::answer(
    const peer_address& to, const wire::LeafExecuteResult& result)
{
    wire::Envelope message;
    *message.mutable_leaf_execute_result() = result;
    this->peers.send(to, std::move(message));
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::note_time()
{
    if (this->context.pauses.note(this->context.now()))
    {
        ++this->context.counts.pauses;
        log_event(log_level::warning, "paused", {});
    }
}

// Notes the time at short intervals, so that a pause of the process is seen.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
boost::asio::awaitable<void> relay<Runtime, Transport, Peers>::watch_pauses()
{
    typename Runtime::timer timer(this->context.owner.executor());
    while (true)
    {
        timer.expires_after(relay_limits::pause_check_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        this->note_time();
    }
}

// Answers every shard of a query with one code.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::refuse(const peer_address& from,
                                              const wire::ShardQuery& query,
                                              result_code code)
{
    wire::Envelope message;
    auto& results = *message.mutable_shard_results();
    results.set_request(query.request());
    results.set_attempt(query.attempt());
    for (const std::uint32_t part : query.shards())
    {
        wire::ShardResult& one = *results.add_results();
        one.set_shard(part);
        one.set_code(static_cast<std::uint32_t>(code));
        one.set_version(query.version());
    }
    this->peers.send(from, std::move(message));
}

} // namespace basilpath
