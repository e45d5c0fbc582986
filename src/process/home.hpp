/// The home of non-idempotent requests: runs each key at most once.
#pragma once

#include "process/entry_context.hpp"
#include "process/home_token.hpp"
#include "process/outcome_table.hpp"
#include "request/caller_request.hpp"
#include "request/query_answer.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace basilpath
{

/// Events of a home.
struct home_counters
{
    std::uint64_t started = 0;
    std::uint64_t repeats = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t late_outcomes = 0;
};

/// Lives as long as the process incarnation; the outcomes go with it. Used on
/// the runtime's thread only.
template <runtime Runtime, peer_transport Transport>
class home : public std::enable_shared_from_this<home<Runtime, Transport>>
{
public:
    using context = entry_context<Runtime, Transport>;
    using time_point = typename Runtime::clock::time_point;

    /// `secret` are random bytes that sign the tokens of this incarnation.
    home(std::shared_ptr<context> shared, std::string secret,
         std::size_t outcome_limit);

    /// Issues a home token for the directory.
    std::string issue_token();

    /// Runs a request to execute, or answers what became of it. The token must
    /// name this host. `id` is our name for the request.
    boost::asio::awaitable<query_answer> execute(request_id id,
                                                 caller_request request,
                                                 home_token token,
                                                 time_point arrived);

    [[nodiscard]] const home_counters& counters() const
    {
        return this->counts;
    }

    /// Keys remembered.
    [[nodiscard]] std::size_t remembered() const
    {
        return this->outcomes.size();
    }

private:
    using box = typename reply_router<Runtime>::box;

    boost::asio::awaitable<query_answer>
    run_started(request_id id, caller_request request, time_point deadline);
    boost::asio::awaitable<query_answer>
    join(request_id id, caller_request request, time_point deadline);
    boost::asio::awaitable<std::optional<typename context::gate_type::ticket>>
    admit(const caller_request& request, time_point deadline);
    boost::asio::awaitable<void> await_late(std::shared_ptr<box> replies,
                                            caller_request request,
                                            request_id id);
    std::optional<peer_address> send(const caller_request& request,
                                     const request_id& id, time_point deadline,
                                     query_answer& answer);
    void settle(const caller_request& request, const query_answer& answer);
    query_answer repeat(const request_id& id,
                        const caller_request& request) const;
    query_answer answer_of(const caller_request& request, const request_id& id,
                           const wire::LeafExecuteResult& result) const;
    query_answer plain(const request_id& id, const caller_request& request,
                       result_code code) const;
    [[nodiscard]] worth worth_of(const caller_request& request) const;
    [[nodiscard]] microseconds now() const;

    std::shared_ptr<context> shared;
    token_issuer issuer;
    outcome_table outcomes;
    home_counters counts;
};

} // namespace basilpath
