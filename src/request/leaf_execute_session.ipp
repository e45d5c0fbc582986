#pragma once

#include "process/system_state.hpp"
#include "version/index_version.hpp"

#include <algorithm>

namespace basilpath
{

template <runtime Runtime, leaf_transport Transport>
leaf_execute_session<Runtime, Transport>::leaf_execute_session(
    context_type& context, wire::LeafExecute request)
    : context(context), request(std::move(request)),
      deadline(context.now() + microseconds(this->request.budget_us()))
{
    this->result.set_request(this->request.request());
    this->result.set_version(this->request.version());
}

template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<wire::LeafExecuteResult>
leaf_execute_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    ++this->context.counts.executes;
    const auto refused = this->find_shard();
    result_code code = refused.value_or(result_code::outcome_unknown);
    if (!refused)
    {
        code = co_await this->execute();
    }
    this->result.set_code(static_cast<std::uint32_t>(code));
    co_return this->result;
}

// Finds the replicas; says why the request is refused when there are none.
template <runtime Runtime, leaf_transport Transport>
std::optional<result_code>
leaf_execute_session<Runtime, Transport>::find_shard()
{
    const auto& state = this->context.state;
    if (!state || !state->configuration)
    {
        return result_code::no_configuration;
    }
    const service* found = state->configuration->find_service(
        service_name(this->request.service()));
    if (found == nullptr)
    {
        return result_code::unknown_service;
    }
    if (!found->accepts_execute)
    {
        return result_code::not_executable;
    }
    const auto match = std::ranges::find(
        found->versions, version_number(this->request.version()),
        [](const auto& one) { return one->number; });
    if (match == found->versions.end() ||
        this->request.shard() >= (*match)->shards.size())
    {
        return result_code::unknown_version;
    }
    this->version = *match;
    this->replicas = this->context.leaves.replicas(
        this->version->shards[this->request.shard()]);
    return std::nullopt;
}

// Gets a slot and sends, to one replica after the other while it is certain
// that none has run the request.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<result_code>
leaf_execute_session<Runtime, Transport>::execute()
{
    result_code code = result_code::no_replica;
    for (auto open = this->candidates(); !open.empty();
         open = this->candidates())
    {
        const auto waiter = std::make_shared<slot_waiter<Runtime>>(
            this->context.owner, this->deadline, open);
        waiter->value = worth(this->request.worth());
        const standing known = this->context.quarantines.look_up(
            fingerprint(this->request.fingerprint()), this->context.now());
        if (known == standing::quarantined)
        {
            co_return result_code::quarantined;
        }
        const slot_use use =
            known == standing::suspect ? slot_use::alone : slot_use::shared;
        auto slot = co_await this->context.slots->acquire(waiter, use);
        if (!slot || this->context.now() >= this->deadline)
        {
            co_return this->candidates().empty()
                ? result_code::no_replica
                : result_code::expired_before_send;
        }
        this->tried.push_back(slot->leaf()->id);
        const leaf_verdict verdict = co_await this->attempt(std::move(*slot));
        code = leaf_execute_code(verdict);
        if (!certainly_not_run(verdict))
        {
            co_return code;
        }
    }
    co_return code;
}

// Sends once, on a new connection, with what is left of the budget.
template <runtime Runtime, leaf_transport Transport>
boost::asio::awaitable<leaf_verdict>
leaf_execute_session<Runtime, Transport>::attempt(slot_lease<Runtime> slot)
{
    const std::shared_ptr<leaf_state> leaf = slot.leaf();
    leaf_attempt<Runtime> made = this->make_attempt();
    leaf_answer answer = co_await run_leaf_attempt(
        this->context, std::move(made), std::move(slot));
    if (answer.verdict == leaf_verdict::served)
    {
        this->result.set_leaf(leaf->id.value);
        this->result.set_items(std::move(answer.items));
    }
    co_return answer.verdict;
}

// The attempt, with a timeout at the deadline: nothing is sent after it.
template <runtime Runtime, leaf_transport Transport>
leaf_attempt<Runtime>
leaf_execute_session<Runtime, Transport>::make_attempt() const
{
    leaf_attempt<Runtime> made;
    made.call.request = request_id(this->request.request());
    made.call.attempt =
        attempt_number(static_cast<std::uint32_t>(this->tried.size()));
    made.call.service = service_name(this->request.service());
    made.call.version = version_number(this->request.version());
    made.call.shard = shard_number(this->request.shard());
    made.call.budget = this->deadline - this->context.now();
    made.call.execute = true;
    made.call.query = this->request.query();
    made.print = fingerprint(this->request.fingerprint());
    made.sent_as =
        this->context.quarantines.look_up(made.print, this->context.now());
    made.replicas = this->replicas;
    made.timeout = made.call.budget;
    return made;
}

// The replicas that were not tried and are not leaving.
template <runtime Runtime, leaf_transport Transport>
std::vector<std::shared_ptr<leaf_state>>
leaf_execute_session<Runtime, Transport>::candidates() const
{
    std::vector<std::shared_ptr<leaf_state>> open;
    std::ranges::copy_if(this->replicas, std::back_inserter(open),
                         [this](const auto& leaf)
                         {
                             return leaf->open() &&
                                    std::ranges::find(this->tried, leaf->id) ==
                                        this->tried.end();
                         });
    return open;
}

} // namespace basilpath
