/// Definitions of execute_session; included where it is instantiated.
#pragma once

#include "process/home.ipp"
#include "request/execute_session.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

template <runtime Runtime, peer_transport Transport>
execute_session<Runtime, Transport>::execute_session(
    std::shared_ptr<context> shared, std::shared_ptr<home_type> own_home,
    caller_request request, time_point arrived)
    : shared(std::move(shared)), own_home(std::move(own_home)),
      request(std::move(request)), arrived(arrived),
      own_id(this->shared->new_request_id())
{
}

template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer> execute_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    const auto token = parse_token(this->request.token);
    if (!token)
    {
        co_return this->plain(result_code::token_forged);
    }
    if (token->home == this->shared->own_host)
    {
        co_return co_await this->own_home->execute(this->own_id, this->request,
                                                   *token, this->arrived);
    }
    const auto state = this->shared->state();
    const auto known = [&token](const host& one)
    {
        return one.id == token->home;
    };
    if (state->hosts)
    {
        const auto found = std::ranges::find_if(state->hosts->hosts, known);
        if (found != state->hosts->hosts.end())
        {
            co_return co_await this->forward(*found);
        }
    }
    ++this->shared->counters.homes_lost;
    co_return this->plain(result_code::outcome_unknown);
}

// Passes the request to its home on another host and waits for the answer.
// Whatever goes wrong on the way, the request may have run on an earlier way.
template <runtime Runtime, peer_transport Transport>
boost::asio::awaitable<query_answer>
execute_session<Runtime, Transport>::forward(const host& to)
{
    const auto deadline =
        this->arrived + this->request.budget - home_limits::answer_margin;
    const auto budget = std::chrono::duration_cast<microseconds>(
        deadline - Runtime::clock::now());
    const request_id& id = this->own_id;
    const auto replies = this->shared->router.open(id, this->shared->clockwork);
    wire::Envelope message;
    wire::HomeExecute& execute = *message.mutable_home_execute();
    execute.set_request(id.value);
    execute.set_token(this->request.token);
    execute.set_key(this->request.key);
    execute.set_service(this->request.service.value);
    execute.set_class_name(this->request.request_class.value);
    execute.set_budget_us(
        static_cast<std::uint64_t>(std::max(budget, microseconds(1)).count()));
    execute.set_query(this->request.query);
    execute.set_lookup_key(this->request.lookup_key);
    const bool sent =
        this->shared->transport.send(to.entry, std::move(message));
    std::optional<peer_message> reply;
    if (sent)
    {
        reply = co_await await_reply<Runtime>(replies, this->shared->transport,
                                              to.entry, deadline);
    }
    this->shared->router.close(id);
    if (!reply)
    {
        ++this->shared->counters.homes_lost;
        co_return this->plain(result_code::outcome_unknown);
    }
    const wire::HomeExecuteResult& result =
        reply->message.home_execute_result();
    query_answer answer = this->plain(
        to_result_code(result.code()).value_or(result_code::outcome_unknown));
    answer.reason = result.reason();
    answer.version = version_number(result.version());
    const bool served = answer.code == result_code::complete ||
                        answer.code == result_code::repeated;
    answer.covered = coverage(served ? 1.0 : 0.0);
    answer.shard_count = 1;
    answer.items = served ? result.items() : "[]";
    co_return answer;
}

// Makes an answer without items.
template <runtime Runtime, peer_transport Transport>
query_answer execute_session<Runtime, Transport>::plain(result_code code) const
{
    query_answer answer;
    answer.caller_id = this->request.caller_id;
    answer.id = this->own_id;
    answer.code = code;
    answer.reason = info(code).meaning;
    return answer;
}

} // namespace basilpath
