/// The relay: hears queries of entries and starts a session for each.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/execute_table.hpp"
#include "process/relay_context.hpp"
#include "request/leaf_execute_session.hpp"
#include "request/shard_query_session.hpp"

#include <memory>
#include <unordered_map>

namespace basilpath
{

/// Owns the slots and connections of the leaves that entries send to it for.
/// Lives as long as the process; used on one thread.
template <runtime Runtime, leaf_transport Transport, peer_transport Peers>
class relay
{
public:
    relay(Runtime& owner, Transport& transport, Peers& peers,
          const relay_policy& policy);

    /// Starts the tasks that run as long as the process.
    void start();

    /// Takes over a new state of the system.
    void apply(const std::shared_ptr<const system_state>& state);

    /// Handles a message of another process.
    void receive(const peer_address& from, wire::Envelope message);

    /// From now on new queries are refused; what runs or waits is finished.
    void shut_down();

    /// Sessions that have not ended.
    [[nodiscard]] std::size_t in_progress() const;

    relay_context<Runtime, Transport> context;

private:
    using query_session = shard_query_session<Runtime, Transport>;
    using execution = leaf_execute_session<Runtime, Transport>;

    void start_query(const peer_address& from, wire::ShardQuery query);
    boost::asio::awaitable<void> run_query(std::shared_ptr<query_session> one,
                                           request_id name);
    void start_execute(const peer_address& from, wire::LeafExecute request);
    boost::asio::awaitable<void> run_execute(std::shared_ptr<execution> one,
                                             peer_address from);
    void answer(const peer_address& to, const wire::LeafExecuteResult& result);
    void note_time();
    boost::asio::awaitable<void> watch_pauses();
    void refuse(const peer_address& from, const wire::ShardQuery& query,
                result_code code);

    Peers& peers;
    std::unordered_multimap<request_id, std::weak_ptr<query_session>> queries;
    execute_table executed;
    std::size_t sessions = 0;
    bool leaving = false;
};

} // namespace basilpath

#include "process/relay.ipp"
