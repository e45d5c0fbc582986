/// Definitions of query_session; included where it is instantiated.
#pragma once

#include "process/retry_time.hpp"
#include "request/query_session.hpp"
#include "version/index_version.hpp"
#include "version/version_choice.hpp"

#include <fmt/ranges.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace query_limits
{

/// Kept back at the end of the budget for the way to the caller.
inline constexpr microseconds answer_margin{2'000};

/// Kept back at the end of a relay's budget for its reply.
inline constexpr microseconds reply_margin{2'000};

/// How often the owners that are still to reply are checked.
inline constexpr microseconds owner_check_interval{20'000};

/// A query is run again on another version when this share of its budget is
/// left.
inline constexpr double restart_budget_share = 0.4;

/// A wait up to this share of the class's objective is short.
inline constexpr double short_wait_share = 0.25;

/// The wait of a query is that of this quantile of its shards.
inline constexpr double wait_quantile = 0.8;

/// Shards on which a query that is not proven may be tried.
inline constexpr std::size_t canary_shards = 3;

} // namespace query_limits

template <runtime Runtime, peer_transport Transport>
query_session<Runtime, Transport>::query_session(
    std::shared_ptr<context> shared, caller_request request, time_point arrived)
    : shared(std::move(shared)), request(std::move(request)), arrived(arrived),
      deadline(arrived + this->request.budget),
      own_id(this->shared->new_request_id()),
      trace(std::make_shared<request_trace>())
{
    this->trace->id = this->own_id;
    this->trace->caller_id = this->request.caller_id;
    this->shared->traces.add(this->trace);
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer> query_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();

    // Step 1. Hold the state in force for the whole query.
    this->state = this->shared->state();

    // Step 2. Refuse what cannot be answered; nothing has run yet.
    if (auto refused = this->refuse_early())
    {
        co_return std::move(*refused);
    }

    // Step 3. Wait for a place among the requests in progress.
    const request_class* const owner =
        this->state->configuration->find_class(this->request.request_class);
    this->value = owner == nullptr ? worth(0.0) : owner->value;
    const auto patience = std::chrono::duration_cast<microseconds>(
        this->request.budget * admission_share);
    auto place = co_await this->shared->gate(this->request.service)
                     ->enter(this->value, this->arrived + patience);
    if (!place)
    {
        co_return this->refuse_overload();
    }
    if (this->cancelled)
    {
        co_return this->refusal(result_code::cancelled, "the caller went away");
    }
    query_answer answer = co_await this->run_admitted();
    const auto objective =
        owner == nullptr ? this->request.budget : owner->objective_latency;
    place->report(this->typical_wait(),
                  std::chrono::duration_cast<microseconds>(
                      objective * query_limits::short_wait_share),
                  answer.code == result_code::complete);
    co_return answer;
}

// Runs a query that has been admitted.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer>
query_session<Runtime, Transport>::run_admitted()
{
    // Step 4. Pin the newest index version that can be answered whole.
    if (!this->pin(std::nullopt))
    {
        co_return this->refusal(result_code::no_replica,
                                "the service has no index version");
    }
    this->replies =
        this->shared->router.open(this->own_id, this->shared->clockwork);

    // Step 5. Try a query that is not known to be harmless on one shard.
    if (this->needs_canary())
    {
        co_await this->run_canary();
    }

    // Step 6. Ask the owners of all shards and gather what they reply.
    std::vector<std::size_t> all(this->shards.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    this->ask(all);
    co_await this->collect(all);

    // Step 7. Once more on another version, if this one could not be served.
    if (this->restart_needed() && this->pin(this->pinned->number))
    {
        ++this->shared->counters.version_restarts;
        all.resize(this->shards.size());
        std::iota(all.begin(), all.end(), std::size_t{0});
        this->ask(all);
        co_await this->collect(all);
    }

    // Step 8. Stop what is still running and answer.
    this->cancel_outstanding();
    this->shared->router.close(this->own_id);
    co_return this->finish();
}

template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::cancel()
{
    this->cancelled = true;
    ++this->shared->counters.cancelled;
    if (this->replies)
    {
        this->replies->wake();
    }
}

template <runtime Runtime, peer_transport Transport>
const request_id& query_session<Runtime, Transport>::id() const
{
    return this->own_id;
}

// Returns the wait that most shards stayed under, so that neither one slow
// leaf nor one idle one stands for all. A shard that has not answered has
// waited since it was asked.
template <runtime Runtime, peer_transport Transport>
microseconds query_session<Runtime, Transport>::typical_wait() const
{
    std::vector<microseconds> waits;
    for (const shard_progress& progress : this->shards)
    {
        if (progress.attempt > 0)
        {
            waits.push_back(progress.merged ? progress.waited
                                            : this->age() - progress.asked_at);
        }
    }
    if (waits.empty())
    {
        return microseconds::zero();
    }
    const auto place = static_cast<std::ptrdiff_t>(
        static_cast<double>(waits.size() - 1) * query_limits::wait_quantile);
    std::ranges::nth_element(waits, waits.begin() + place);
    return waits[static_cast<std::size_t>(place)];
}

// Refuses a query that found no place in time, with a time to come back that
// differs from caller to caller.
template <runtime Runtime, peer_transport Transport>
query_answer query_session<Runtime, Transport>::refuse_overload()
{
    auto refused = this->refusal(result_code::overloaded,
                                 "requests of more worth take all places");
    refused.retry_after = spread_retry(this->shared->clockwork);
    return refused;
}

// Refuses a query that no target may run.
template <runtime Runtime, peer_transport Transport>
std::optional<query_answer> query_session<Runtime, Transport>::refuse_early()
{
    if (!this->state->configuration)
    {
        return this->refusal(result_code::no_configuration,
                             "no configuration is in force yet");
    }
    this->wanted =
        this->state->configuration->find_service(this->request.service);
    if (this->wanted == nullptr)
    {
        return this->refusal(result_code::unknown_service,
                             "the service has left the configuration");
    }
    const auto quarantine = this->state->quarantines.find(this->request.print);
    const auto now = std::chrono::steady_clock::now();
    if (quarantine != this->state->quarantines.end() &&
        quarantine->second > now)
    {
        auto refused = this->refusal(result_code::quarantined,
                                     "the query has crashed targets");
        refused.retry_after =
            std::chrono::ceil<milliseconds>(quarantine->second - now);
        return refused;
    }
    if (this->time_left() <= microseconds::zero())
    {
        return this->refusal(result_code::budget_too_short,
                             "the deadline has passed");
    }
    return std::nullopt;
}

// Chooses the index version and forgets what was gathered on another.
template <runtime Runtime, peer_transport Transport>
bool query_session<Runtime, Transport>::pin(
    std::optional<version_number> except)
{
    auto chosen = choose_version(*this->wanted, *this->state, except);
    if (!chosen)
    {
        return false;
    }
    this->cancel_outstanding();
    this->pinned = std::move(chosen);
    this->routes =
        this->shared->routing.routes(this->state, *this->wanted, *this->pinned);
    this->select_shards();
    this->note(fmt::format("pinned version={} shards={}",
                           this->pinned->number.value, this->shards.size()));
    return true;
}

// Lists the shards to ask: all, or the one that holds the lookup key.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::select_shards()
{
    const auto& all = this->pinned->shards;
    std::vector<shard_number> numbers;
    if (this->wanted->kind == service_kind::lookup)
    {
        const auto hash = rendezvous_hash(this->request.lookup_key, "");
        numbers.push_back(all[hash % all.size()].number);
    }
    else
    {
        std::ranges::transform(all, std::back_inserter(numbers),
                               &shard::number);
    }
    this->shards.clear();
    for (const shard_number number : numbers)
    {
        shard_progress progress;
        progress.number = number;
        progress.owners = &this->routes->shards[number.value];
        this->shards.push_back(progress);
    }
    this->merger = std::make_unique<answer_merger>(*this->wanted, this->pinned,
                                                   std::move(numbers));
}

// Tells whether a query that fans out has not been seen to succeed.
template <runtime Runtime, peer_transport Transport>
bool query_session<Runtime, Transport>::needs_canary() const
{
    return this->shards.size() > 1 &&
           !this->shared->proven.contains(this->request.print);
}

// Runs the query on one shard, the same for every host, so that a query that
// crashes targets meets one owner that can count. The next shard is tried when
// the first could not run it at all.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<void> query_session<Runtime, Transport>::run_canary()
{
    this->canary_running = true;
    result_code code = result_code::deadline_exceeded;
    for (std::size_t i = 0; i < query_limits::canary_shards; ++i)
    {
        const std::vector<std::size_t> one{(this->request.print.value + i) %
                                           this->shards.size()};
        ++this->shared->counters.canaries;
        this->ask(one);
        co_await this->collect(one);
        const shard_progress& canary = this->shards[one.front()];
        if (canary.merged)
        {
            this->shared->proven.add(this->request.print);
            this->canary_running = false;
            co_return;
        }
        code = canary.failure.value_or(result_code::deadline_exceeded);
        if (code == result_code::bad_reply)
        {
            // The target has survived the query; what it said is of no use.
            this->canary_running = false;
            co_return;
        }
        if (canary.may_have_run)
        {
            break;
        }
    }
    this->canary_running = false;
    for (shard_progress& progress : this->shards)
    {
        progress.failure = progress.failure.value_or(code);
    }
}

// Gathers replies until the shards named have settled or time runs out.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<void> query_session<Runtime, Transport>::collect(
    const std::vector<std::size_t>& which)
{
    const auto end = this->deadline - query_limits::answer_margin;
    while (!this->cancelled && !this->all_settled(which))
    {
        const auto now = Runtime::clock::now();
        if (now >= end)
        {
            break;
        }
        const auto next_check = now + query_limits::owner_check_interval;
        const auto reply =
            co_await this->replies->pop_until(std::min(end, next_check));
        if (reply)
        {
            this->take(*reply);
        }
        else
        {
            this->fail_over();
        }
    }
}

// Asks the owners of the shards named, one message for each owner.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::ask(
    const std::vector<std::size_t>& which)
{
    std::map<const host*, std::vector<std::size_t>> by_owner;
    for (const std::size_t place : which)
    {
        shard_progress& progress = this->shards[place];
        if (progress.settled())
        {
            continue;
        }
        const host* const owner = this->choose_owner(progress);
        if (owner == nullptr)
        {
            progress.failure = result_code::peer_lost;
            continue;
        }
        by_owner[owner].push_back(place);
    }
    for (const auto& [owner, places] : by_owner)
    {
        this->send(*owner, places);
    }
}

// Returns the first responsive owner from the present place on.
template <runtime Runtime, peer_transport Transport>
const host*
query_session<Runtime, Transport>::choose_owner(shard_progress& progress) const
{
    const auto& ranked = progress.owners->hosts;
    while (progress.owner < ranked.size())
    {
        const host* const one = ranked[progress.owner];
        if (this->shared->transport.responsive(one->relay))
        {
            return one;
        }
        ++progress.owner;
    }
    return nullptr;
}

// Sends one owner its shards of the query.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::send(
    const host& owner, const std::vector<std::size_t>& which)
{
    const auto budget = this->time_left() - query_limits::answer_margin -
                        query_limits::reply_margin;
    const std::uint32_t attempt = ++this->next_attempt;
    wire::Envelope message;
    wire::ShardQuery& query = *message.mutable_shard_query();
    query.set_request(this->own_id.value);
    query.set_attempt(attempt);
    query.set_service(this->request.service.value);
    query.set_version(this->pinned->number.value);
    query.set_budget_us(
        static_cast<std::uint64_t>(std::max(budget, microseconds(1)).count()));
    query.set_query(this->request.query);
    query.set_fingerprint(this->request.print.value);
    query.set_worth(this->value.value);
    query.set_canary(this->canary_running);
    for (const std::size_t place : which)
    {
        query.add_shards(this->shards[place].number.value);
    }
    const bool sent =
        this->shared->transport.send(owner.relay, std::move(message));
    for (const std::size_t place : which)
    {
        shard_progress& progress = this->shards[place];
        progress.asked = sent ? &owner : nullptr;
        progress.attempt = attempt;
        progress.asked_at = this->age();
        progress.may_have_run = progress.may_have_run || sent;
    }
    this->shared->counters.shards_asked += which.size();
    this->note(fmt::format("asked host={} attempt={} shards={} canary={} "
                           "sent={}",
                           owner.id.value, attempt, which.size(),
                           this->canary_running, sent));
}

// Asks the next owner for every shard whose owner has gone silent.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::fail_over()
{
    std::vector<std::size_t> lost;
    for (std::size_t place = 0; place < this->shards.size(); ++place)
    {
        shard_progress& progress = this->shards[place];
        if (progress.settled() || progress.attempt == 0)
        {
            continue;
        }
        if (progress.asked == nullptr ||
            !this->shared->transport.responsive(progress.asked->relay))
        {
            ++progress.owner;
            lost.push_back(place);
        }
    }
    if (!lost.empty())
    {
        this->shared->counters.failovers += lost.size();
        this->note(fmt::format("failover shards={}", lost.size()));
        this->ask(lost);
    }
}

// Takes the results that one relay has sent.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::take(const peer_message& reply)
{
    const wire::ShardResults& results = reply.message.shard_results();
    std::vector<std::size_t> again;
    for (const wire::ShardResult& result : results.results())
    {
        const auto progress =
            std::ranges::find(this->shards, shard_number(result.shard()),
                              &shard_progress::number);
        if (progress == this->shards.end())
        {
            ++this->shared->counters.malformed_results;
            continue;
        }
        const auto code =
            to_result_code(result.code()).value_or(result_code::bad_reply);
        if (code == result_code::complete)
        {
            this->merge(*progress, result);
        }
        else if (progress->attempt != results.attempt() || progress->settled())
        {
            // Only the attempt in progress can say that a shard has failed.
            ++this->shared->counters.duplicate_results;
        }
        else if (this->try_next_owner(*progress, code))
        {
            again.push_back(
                static_cast<std::size_t>(progress - this->shards.begin()));
        }
        else
        {
            progress->may_have_run = result.attempts() > 0;
            progress->failure = code;
            this->note(fmt::format("failed shard={} code={}", result.shard(),
                                   info(code).name));
        }
    }
    this->ask(again);
}

// Adds a shard's items to the answer.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::merge(shard_progress& progress,
                                              const wire::ShardResult& result)
{
    const auto outcome = this->merger->add(
        progress.number, version_number(result.version()), result.items());
    entry_counters& counters = this->shared->counters;
    switch (outcome)
    {
    case merge_outcome::merged:
        progress.merged = true;
        progress.waited = this->age() - progress.asked_at -
                          microseconds(result.elapsed_us()) +
                          microseconds(result.queued_us());
        progress.failure.reset();
        ++counters.shards_merged;
        this->note(fmt::format(
            "merged shard={} leaf={} queued_us={} took_us={} attempts={} "
            "hedges={}",
            result.shard(), result.leaf(), result.queued_us(),
            result.elapsed_us(), result.attempts(), result.hedges()));
        break;
    case merge_outcome::duplicate:
        ++counters.duplicate_results;
        break;
    case merge_outcome::wrong_version:
        ++counters.wrong_version_results;
        break;
    case merge_outcome::unknown_shard:
    case merge_outcome::malformed:
        ++counters.malformed_results;
        progress.failure = result_code::bad_reply;
        break;
    }
}

// Moves a shard to its next owner when the present one will not run it.
template <runtime Runtime, peer_transport Transport>
bool query_session<Runtime, Transport>::try_next_owner(shard_progress& progress,
                                                       result_code code)
{
    if (code != result_code::shutting_down &&
        code != result_code::no_configuration)
    {
        return false;
    }
    ++progress.owner;
    return progress.owner < progress.owners->hosts.size();
}

// Tells whether the version could not be served and time is left for another.
template <runtime Runtime, peer_transport Transport>
bool query_session<Runtime, Transport>::restart_needed() const
{
    const bool lost = std::ranges::any_of(
        this->shards,
        [](const shard_progress& progress)
        {
            return progress.failure == result_code::snapshot_lost ||
                   progress.failure == result_code::no_replica;
        });
    const auto least = std::chrono::duration_cast<microseconds>(
        this->request.budget * query_limits::restart_budget_share);
    return lost && !this->cancelled && this->time_left() > least &&
           this->wanted->versions.size() > 1;
}

// Tells the owners that still work that nobody waits any more.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::cancel_outstanding()
{
    std::vector<const host*> working;
    for (shard_progress& progress : this->shards)
    {
        if (!progress.settled() && progress.asked != nullptr)
        {
            working.push_back(progress.asked);
        }
    }
    std::ranges::sort(working);
    const auto rest = std::ranges::unique(working);
    working.erase(rest.begin(), rest.end());
    for (const host* const one : working)
    {
        wire::Envelope message;
        message.mutable_cancel_query()->set_request(this->own_id.value);
        this->shared->transport.send(one->relay, std::move(message));
    }
}

// Forms the answer from what was gathered.
template <runtime Runtime, peer_transport Transport>
query_answer query_session<Runtime, Transport>::finish()
{
    query_answer answer;
    answer.caller_id = this->request.caller_id;
    answer.id = this->own_id;
    this->merger->write(answer);
    answer.code = this->judge(answer);
    if (answer.code != result_code::complete &&
        answer.code != result_code::partial)
    {
        answer.items = "[]";
        answer.reason = info(answer.code).meaning;
    }
    if (info(answer.code).not_run)
    {
        answer.covered = coverage(0.0);
    }
    this->note(fmt::format("answered code={} coverage={:.4f}",
                           info(answer.code).name, answer.covered.value));
    return answer;
}

// Says what the caller is told: never "not run" when a target may have run.
template <runtime Runtime, peer_transport Transport>
result_code
query_session<Runtime, Transport>::judge(const query_answer& answer) const
{
    if (this->cancelled)
    {
        return result_code::cancelled;
    }
    if (this->merger->complete())
    {
        return result_code::complete;
    }
    if (answer.covered.value > 0.0)
    {
        return answer.covered >= this->request.least_coverage
                   ? result_code::partial
                   : result_code::coverage_too_low;
    }
    const bool ran =
        std::ranges::any_of(this->shards, &shard_progress::may_have_run);
    const auto failed =
        std::ranges::find_if(this->shards, [](const shard_progress& progress)
                             { return progress.failure.has_value(); });
    if (failed == this->shards.end())
    {
        return result_code::deadline_exceeded;
    }
    const result_code code = *failed->failure;
    return info(code).not_run && ran ? result_code::target_failed : code;
}

// Answers that nothing was run, and why.
template <runtime Runtime, peer_transport Transport>
query_answer
query_session<Runtime, Transport>::refusal(result_code code,
                                           std::string reason) const
{
    query_answer answer;
    answer.caller_id = this->request.caller_id;
    answer.id = this->own_id;
    answer.code = code;
    answer.reason = std::move(reason);
    return answer;
}

template <runtime Runtime, peer_transport Transport>
bool query_session<Runtime, Transport>::all_settled(
    const std::vector<std::size_t>& which) const
{
    return std::ranges::all_of(which, [this](std::size_t place)
                               { return this->shards[place].settled(); });
}

template <runtime Runtime, peer_transport Transport>
microseconds query_session<Runtime, Transport>::time_left() const
{
    return std::chrono::duration_cast<microseconds>(this->deadline -
                                                    Runtime::clock::now());
}

// Writes one event into the trace of the request.
template <runtime Runtime, peer_transport Transport>
void query_session<Runtime, Transport>::note(std::string text)
{
    this->trace->events.push_back({this->age(), std::move(text)});
}

template <runtime Runtime, peer_transport Transport>
microseconds query_session<Runtime, Transport>::age() const
{
    return std::chrono::duration_cast<microseconds>(Runtime::clock::now() -
                                                    this->arrived);
}

} // namespace basilpath
