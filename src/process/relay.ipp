#pragma once

#include "process/system_state.hpp"

#include <utility>

namespace basilpath
{

namespace relay_limits
{

/// Requests to execute that are remembered so that none runs twice.
inline constexpr std::size_t remembered_executes = 100'000;

} // namespace relay_limits

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
relay<Runtime, Transport, Peers>::relay(Runtime& owner, Transport& transport,
                                        Peers& peers,
                                        const relay_policy& policy)
    : context(owner, transport, policy), peers(peers),
      executed(relay_limits::remembered_executes)
{
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::apply(
    const std::shared_ptr<const system_state>& state)
{
    this->context.state = state;
    this->context.leaves.apply(*this->context.state);
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
    if (message.has_shard_query())
    {
        this->start_query(from, std::move(*message.mutable_shard_query()));
    }
    else if (message.has_leaf_execute())
    {
        this->start_execute(from, std::move(*message.mutable_leaf_execute()));
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

// Starts a request to execute, unless it is known: then it is not run again.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
void relay<Runtime, Transport, Peers>::start_execute(const peer_address& from,
                                                     wire::LeafExecute request)
{
    const auto answer = [this, from](wire::Envelope reply)
    {
        this->peers.send(from, std::move(reply));
    };
    const bool known =
        !this->leaving && !this->executed.add(request_id(request.request()));
    if (this->leaving || known)
    {
        wire::Envelope refusal;
        auto& result = *refusal.mutable_leaf_execute_result();
        result.set_request(request.request());
        result.set_code(static_cast<std::uint32_t>(
            known ? result_code::outcome_unknown : result_code::shutting_down));
        answer(std::move(refusal));
        return;
    }
    auto one =
        std::make_shared<execution>(this->context, std::move(request), answer);
    ++this->sessions;
    boost::asio::co_spawn(
        this->context.owner.executor(),
        [this, one] { return this->run_execute(one); }, boost::asio::detached);
}

template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
boost::asio::awaitable<void>
relay<Runtime, Transport, Peers>::run_execute(std::shared_ptr<execution> one)
{
    co_await one->run();
    --this->sessions;
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
