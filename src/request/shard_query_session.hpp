/// One query of an entry on the shards that this relay owns.
#pragma once

#include "connection/wire.pb.h"
#include "request/shard_call.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace basilpath
{

struct index_version;

/// Runs a query's shards side by side and sends their results, gathered over a
/// short time so that messages are few. Keeps itself alive until all is sent.
template <runtime Runtime, leaf_transport Transport>
class shard_query_session : public std::enable_shared_from_this<
                                shard_query_session<Runtime, Transport>>
{
public:
    using context_type = relay_context<Runtime, Transport>;
    using reply_function = std::function<void(wire::Envelope)>;

    shard_query_session(context_type& context, wire::ShardQuery query,
                        reply_function reply);

    /// Answers all shards of the query.
    boost::asio::awaitable<void> run();

    /// The entry no longer wants the results; none is sent from now on.
    void cancel();

private:
    using call = shard_call<Runtime, Transport>;

    /// The end of one shard's call.
    struct shard_result
    {
        shard_number part;
        shard_outcome outcome;
    };

    [[nodiscard]] std::optional<result_code> find_version();
    [[nodiscard]] bool needs_trial() const;
    void start_call(std::uint32_t part);
    void refuse_rest(result_code code);
    boost::asio::awaitable<void> run_trial();
    boost::asio::awaitable<bool> wait_for_turn();
    boost::asio::awaitable<void> run_call(std::shared_ptr<call> one,
                                          shard_number part);
    boost::asio::awaitable<void> send_results();
    void add(const shard_result& ended);
    void flush();

    context_type& context;
    wire::ShardQuery query;
    reply_function reply;
    std::shared_ptr<const index_version> version;
    std::shared_ptr<shard_work> work;
    std::vector<std::shared_ptr<call>> calls;
    mailbox<Runtime, shard_result> results;
    wire::ShardResults gathered;
    std::vector<std::uint32_t> unstarted;
    std::size_t unanswered = 0;
    bool cancelled = false;
};

} // namespace basilpath

#include "request/shard_query_session.ipp"
