/// Definitions of home; included where it is instantiated.
#pragma once

#include "process/home.hpp"
#include "process/retry_time.hpp"
#include "request/await_reply.hpp"
#include "version/index_version.hpp"
#include "version/service.hpp"
#include "version/version_choice.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace home_limits
{

/// How long a token takes new keys.
inline constexpr std::chrono::seconds token_time{120};

/// How long an outcome is kept after its token has stopped taking new keys.
inline constexpr std::chrono::seconds outcome_time{600};

/// How long an outcome that came after the deadline is waited for.
inline constexpr std::chrono::seconds late_outcome_time{10};

/// Kept back at the end of the budget for the way to the caller.
inline constexpr microseconds answer_margin{2'000};

} // namespace home_limits

template <runtime Runtime, peer_transport Transport>
home<Runtime, Transport>::home(std::shared_ptr<context> shared,
                               std::string secret, std::size_t outcome_limit)
    : shared(std::move(shared)),
      issuer(this->shared->own_host, this->shared->own_incarnation,
             std::move(secret)),
      outcomes(outcome_limit)
{
}

template <runtime Runtime, peer_transport Transport>
std::string home<Runtime, Transport>::issue_token()
{
    return this->issuer.issue(this->now() + home_limits::token_time);
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer>
home<Runtime, Transport>::execute(request_id id, caller_request request,
                                  home_token token, time_point arrived)
{
    const auto self = this->shared_from_this();
    const time_point deadline =
        arrived + request.budget - home_limits::answer_margin;

    // Step 1. A token of an earlier incarnation: its outcomes are gone.
    if (token.issuer != this->shared->own_incarnation)
    {
        ++this->shared->counters.homes_lost;
        co_return this->plain(id, request, result_code::outcome_unknown);
    }

    // Step 2. A token that this incarnation never issued.
    if (!this->issuer.issued(token))
    {
        co_return this->plain(id, request, result_code::token_forged);
    }

    // Step 3. A token so old that its keys may have been forgotten.
    const auto keep_until = token.good_until + home_limits::outcome_time;
    if (this->now() >= keep_until)
    {
        co_return this->plain(id, request, result_code::outcome_unknown);
    }

    // Step 4. Start the key, or answer what is known of it.
    switch (this->outcomes.start(request.key, request.print, token.good_until,
                                 keep_until, this->now()))
    {
    case key_state::started:
        ++this->counts.started;
        co_return co_await this->run_started(std::move(id), std::move(request),
                                             deadline);
    case key_state::in_progress:
        ++this->counts.repeats;
        co_return co_await this->join(std::move(id), std::move(request),
                                      deadline);
    case key_state::finished:
        ++this->counts.repeats;
        co_return this->repeat(id, request);
    case key_state::other_body:
        co_return this->plain(id, request, result_code::key_reused);
    case key_state::full:
        ++this->counts.refused;
        co_return this->plain(id, request, result_code::outcome_table_full);
    case key_state::expired:
        ++this->counts.refused;
        co_return this->plain(id, request, result_code::token_expired);
    }
    co_return this->plain(id, request, result_code::outcome_unknown);
}

// Runs a key that is in the table as in progress, and notes its outcome.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer>
home<Runtime, Transport>::run_started(request_id id, caller_request request,
                                      time_point deadline)
{
    auto place = co_await this->admit(request, deadline);
    if (!place)
    {
        query_answer refused =
            this->plain(id, request, result_code::overloaded);
        refused.retry_after = spread_retry(this->shared->clockwork);
        this->settle(request, refused);
        co_return refused;
    }
    const auto replies = this->shared->router.open(id, this->shared->clockwork);
    query_answer answer =
        this->plain(id, request, result_code::outcome_unknown);
    const auto owner = this->send(request, id, deadline, answer);
    if (!owner)
    {
        this->shared->router.close(id);
        this->settle(request, answer);
        co_return answer;
    }
    const auto reply = co_await await_reply<Runtime>(
        replies, this->shared->transport, *owner, deadline);
    if (!reply)
    {
        ++this->counts.unknown;
        this->settle(request, answer);
        boost::asio::co_spawn(this->shared->clockwork.executor(),
                              this->await_late(replies, std::move(request), id),
                              boost::asio::detached);
        co_return answer;
    }
    this->shared->router.close(id);
    answer = this->answer_of(request, id, reply->message.leaf_execute_result());
    this->settle(request, answer);
    co_return answer;
}

// Waits for a place among the requests of the service in progress.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<std::optional<
    typename home<Runtime, Transport>::context::gate_type::ticket>>
home<Runtime, Transport>::admit(const caller_request& request,
                                time_point deadline)
{
    const auto patience = std::chrono::duration_cast<microseconds>(
        request.budget * admission_share);
    const time_point until =
        std::min(deadline, Runtime::clock::now() + patience);
    co_return co_await this->shared->gate(request.service)
        ->enter(this->worth_of(request), until);
}

// Returns what a request counts, by its class.
template <runtime Runtime, peer_transport Transport>
worth home<Runtime, Transport>::worth_of(const caller_request& request) const
{
    const auto state = this->shared->state();
    const request_class* const owner =
        state->configuration
            ? state->configuration->find_class(request.request_class)
            : nullptr;
    return owner == nullptr ? worth(0.0) : owner->value;
}

// Waits until another request with the same key has finished.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer>
home<Runtime, Transport>::join(request_id id, caller_request request,
                               time_point deadline)
{
    const auto self = this->shared_from_this();
    const auto finished = std::make_shared<box>(this->shared->clockwork);
    this->outcomes.wait(request.key, [finished] { finished->wake(); });
    co_await finished->pop_until(deadline);
    co_return this->repeat(id, request);
}

// Waits for an outcome that comes after the deadline, for later repeats.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<void>
home<Runtime, Transport>::await_late(std::shared_ptr<box> replies,
                                     caller_request request, request_id id)
{
    const auto self = this->shared_from_this();
    const auto until = Runtime::clock::now() + home_limits::late_outcome_time;
    const auto reply = co_await replies->pop_until(until);
    this->shared->router.close(id);
    if (reply)
    {
        ++this->counts.late_outcomes;
        this->settle(
            request,
            this->answer_of(request, id, reply->message.leaf_execute_result()));
    }
}

// Sends the request to the first responsive owner of its shard and returns
// who that is. Nothing when it is certain that nothing was sent; `answer` then
// says why.
template <runtime Runtime, peer_transport Transport>
std::optional<peer_address>
home<Runtime, Transport>::send(const caller_request& request,
                               const request_id& id, time_point deadline,
                               query_answer& answer)
{
    const auto state = this->shared->state();
    const service* const wanted =
        state->configuration
            ? state->configuration->find_service(request.service)
            : nullptr;
    const auto pinned =
        wanted != nullptr ? choose_version(*wanted, *state) : nullptr;
    if (!pinned)
    {
        answer = this->plain(id, request, result_code::no_configuration);
        return std::nullopt;
    }
    const auto place =
        rendezvous_hash(request.lookup_key, "") % pinned->shards.size();
    const auto budget = std::chrono::duration_cast<microseconds>(
        deadline - Runtime::clock::now());
    if (budget <= microseconds::zero())
    {
        answer = this->plain(id, request, result_code::expired_before_send);
        return std::nullopt;
    }
    wire::Envelope message;
    wire::LeafExecute& execute = *message.mutable_leaf_execute();
    execute.set_request(id.value);
    execute.set_service(request.service.value);
    execute.set_version(pinned->number.value);
    execute.set_budget_us(static_cast<std::uint64_t>(budget.count()));
    execute.set_shard(static_cast<std::uint32_t>(place));
    execute.set_query(request.query);
    execute.set_fingerprint(request.print.value);
    execute.set_worth(this->worth_of(request).value);
    const auto routes = this->shared->routing.routes(state, *wanted, *pinned);
    const auto& owners = routes->shards[place].hosts;
    const auto sent = std::ranges::find_if(
        owners, [&](const host* one)
        { return this->shared->transport.send(one->relay, message); });
    if (sent == owners.end())
    {
        answer = this->plain(id, request, result_code::no_replica);
        return std::nullopt;
    }
    return (*sent)->relay;
}

// Notes an outcome; a request that is certain not to have run is forgotten, so
// that it may be sent again.
template <runtime Runtime, peer_transport Transport>
void home<Runtime, Transport>::settle(const caller_request& request,
                                      const query_answer& answer)
{
    if (info(answer.code).not_run)
    {
        this->outcomes.withdraw(request.key);
        return;
    }
    this->outcomes.finish(request.key, answer);
}

// Answers with the outcome that is stored, if any is.
template <runtime Runtime, peer_transport Transport>
query_answer
home<Runtime, Transport>::repeat(const request_id& id,
                                 const caller_request& request) const
{
    const query_answer* const stored = this->outcomes.outcome(request.key);
    if (stored == nullptr)
    {
        return this->plain(id, request, result_code::outcome_unknown);
    }
    query_answer answer = *stored;
    answer.caller_id = request.caller_id;
    answer.id = id;
    if (answer.code == result_code::complete)
    {
        answer.code = result_code::repeated;
    }
    return answer;
}

// Makes the answer from what the relay reports.
template <runtime Runtime, peer_transport Transport>
query_answer
home<Runtime, Transport>::answer_of(const caller_request& request,
                                    const request_id& id,
                                    const wire::LeafExecuteResult& result) const
{
    query_answer answer = this->plain(
        id, request,
        to_result_code(result.code()).value_or(result_code::outcome_unknown));
    answer.version = version_number(result.version());
    answer.shard_count = 1;
    if (answer.code == result_code::complete)
    {
        answer.reason.clear();
        answer.covered = coverage(1.0);
        answer.items = result.items();
    }
    return answer;
}

// Makes an answer without items.
template <runtime Runtime, peer_transport Transport>
query_answer home<Runtime, Transport>::plain(const request_id& id,
                                             const caller_request& request,
                                             result_code code) const
{
    query_answer answer;
    answer.caller_id = request.caller_id;
    answer.id = id;
    answer.code = code;
    answer.reason = info(code).meaning;
    return answer;
}

template <runtime Runtime, peer_transport Transport>
microseconds home<Runtime, Transport>::now() const
{
    return std::chrono::duration_cast<microseconds>(
        Runtime::clock::now().time_since_epoch());
}

} // namespace basilpath
