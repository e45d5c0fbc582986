/// Getting one shard's part of a query from one of its replicas.
#pragma once

#include "process/relay_context.hpp"
#include "request/leaf_attempt.hpp"
#include "request/leaf_call.hpp"
#include "request/mailbox.hpp"
#include "request/result_code.hpp"
#include "version/shard.hpp"

#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

/// What all shards of one query have in common.
struct shard_work
{
    request_id request;
    service_name service;
    version_number version;
    instant deadline;
    worth value;
    fingerprint print;
    std::string query;

    /// Attempts are numbered over all shards, so that request and attempt name
    /// one call.
    std::uint32_t last_attempt = 0;
};

/// What became of one shard.
struct shard_outcome
{
    result_code code = result_code::deadline_exceeded;
    leaf_id leaf;
    std::string items;
    microseconds elapsed{0};
    microseconds queued{0};

    /// Attempts that may have reached a leaf.
    std::uint32_t attempts = 0;
    std::uint32_t hedges = 0;
};

/// One shard of one query, from its arrival to its result. Keeps itself alive
/// while an attempt is in progress.
template <runtime Runtime, leaf_transport Transport>
class shard_call
    : public std::enable_shared_from_this<shard_call<Runtime, Transport>>
{
public:
    using context_type = relay_context<Runtime, Transport>;

    shard_call(context_type& context, std::shared_ptr<shard_work> work,
               const shard& part);

    /// Runs until there is a result; at the latest at the deadline.
    boost::asio::awaitable<shard_outcome> run();

    /// Ends the call; attempts in progress are cancelled at their leaves.
    void cancel();

private:
    using lease = slot_lease<Runtime>;
    using leaves = std::vector<std::shared_ptr<leaf_state>>;

    /// An attempt that has been sent.
    struct attempt
    {
        leaf_call call;
        std::shared_ptr<leaf_state> leaf;
        bool ended = false;

        static const std::shared_ptr<leaf_state>&
        leaf_of(const std::shared_ptr<attempt>& one)
        {
            return one->leaf;
        }
    };

    /// The end of an attempt.
    struct attempt_result
    {
        std::shared_ptr<attempt> of;
        leaf_answer answer;
    };

    [[nodiscard]] std::optional<result_code> refusal() const;
    [[nodiscard]] leaves untried() const;
    boost::asio::awaitable<bool> start_attempt();
    void send(lease slot);
    boost::asio::awaitable<void> run_attempt(std::shared_ptr<attempt> one,
                                             lease slot);
    void probe();
    [[nodiscard]] leaf_call make_call();
    [[nodiscard]] leaf_attempt<Runtime>
    make_attempt(const leaf_call& call) const;
    [[nodiscard]] standing known() const;
    void hedge();
    bool take_result(const attempt_result& result);
    bool may_retry();
    [[nodiscard]] instant hedge_time() const;
    void cancel_attempts();
    [[nodiscard]] result_code failure() const;

    context_type& context;
    service_record& service;
    std::shared_ptr<shard_work> work;
    shard_number part;
    leaves replicas;
    std::vector<std::shared_ptr<attempt>> attempts;
    mailbox<Runtime, attempt_result> results;
    std::shared_ptr<slot_waiter<Runtime>> waiter;
    shard_outcome outcome;
    instant sent_at;
    std::size_t running = 0;
    std::optional<leaf_verdict> last_verdict;
    std::optional<result_code> refused;
    bool may_have_run = false;
    bool hedged = false;
    bool cancelled = false;
    bool finished = false;
};

} // namespace basilpath

#include "request/shard_call.ipp"
