/// One caller's query: from the pinned version to the answer.
#pragma once

#include "process/entry_context.hpp"
#include "request/answer_merger.hpp"
#include "request/caller_request.hpp"
#include "request/query_answer.hpp"
#include "request/shard_progress.hpp"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace basilpath
{

struct index_version;

/// Runs an idempotent query. Keeps itself alive while it runs; ends early when
/// its caller goes away.
template <runtime Runtime, peer_transport Transport>
class query_session
    : public std::enable_shared_from_this<query_session<Runtime, Transport>>
{
public:
    using context = entry_context<Runtime, Transport>;
    using time_point = typename Runtime::clock::time_point;

    query_session(std::shared_ptr<context> shared, caller_request request,
                  time_point arrived);

    /// Runs the query to its end and returns what the caller is told.
    boost::asio::awaitable<query_answer> run();

    /// Ends the query: its caller has gone away.
    void cancel();

    [[nodiscard]] const request_id& id() const;

private:
    boost::asio::awaitable<query_answer> run_admitted();
    [[nodiscard]] microseconds typical_wait() const;
    query_answer refuse_overload();
    std::optional<query_answer> refuse_early();
    bool pin(std::optional<version_number> except);
    void select_shards();
    bool needs_canary() const;
    boost::asio::awaitable<void> run_canary();
    boost::asio::awaitable<void> collect(const std::vector<std::size_t>& which);
    void ask(const std::vector<std::size_t>& which);
    const host* choose_owner(shard_progress& progress) const;
    void send(const host& owner, const std::vector<std::size_t>& which);
    void fail_over();
    void take(const peer_message& reply);
    void take_result(const host* from, const wire::ShardResult& result);
    void merge(shard_progress& progress, const wire::ShardResult& result);
    bool try_next_owner(shard_progress& progress, result_code code);
    [[nodiscard]] bool restart_needed() const;
    void cancel_outstanding();
    query_answer finish();
    [[nodiscard]] result_code judge(const query_answer& answer) const;
    query_answer refusal(result_code code, std::string reason) const;
    [[nodiscard]] bool all_settled(const std::vector<std::size_t>& which) const;
    [[nodiscard]] microseconds time_left() const;
    [[nodiscard]] microseconds age() const;
    void note(std::string text);

    std::shared_ptr<context> shared;
    caller_request request;
    time_point arrived;
    time_point deadline;
    request_id own_id;
    std::shared_ptr<request_trace> trace;
    std::shared_ptr<typename reply_router<Runtime>::box> replies;

    std::shared_ptr<const system_state> state;
    const service* wanted = nullptr;
    std::shared_ptr<const index_version> pinned;
    std::shared_ptr<const version_routes> routes;
    std::unique_ptr<answer_merger> merger;
    std::vector<shard_progress> shards;
    std::uint32_t next_attempt = 0;
    worth value;
    bool canary_running = false;
    bool cancelled = false;
};

} // namespace basilpath
