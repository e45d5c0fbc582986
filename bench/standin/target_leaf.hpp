/// A stand-in leaf with its connections, slots, service times and faults.
#pragma once

#include "standin/execution_log.hpp"
#include "standin/fault_set.hpp"
#include "standin/index_holdings.hpp"
#include "standin/leaf_endpoint.hpp"
#include "standin/load_report.hpp"
#include "standin/options.hpp"
#include "standin/service_time_model.hpp"
#include "standin/slot_queue.hpp"
#include "version/leaf.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace basilpath::standin
{

struct leaf_job;

/// Simulates a target as described in docs/target-protocol.md. Used only on the
/// thread of the io_context.
class target_leaf : public std::enable_shared_from_this<target_leaf>
{
public:
    using clock = std::chrono::steady_clock;

    target_leaf(boost::asio::io_context& context, const leaf_options& options,
                leaf description, std::uint32_t items,
                std::shared_ptr<execution_log> executions);

    /// Starts listening at `address`; returns the port.
    std::uint16_t start(const std::string& address);

    /// Applies the description and the shards that a new document assigns.
    void configure(const leaf& description, const std::set<held_shard>& named);

    /// Adds a fault, or applies it at once if it is a crash or drop_silently.
    void add_fault(const fault& one);

    /// Clears all faults, but neither ends a crash nor revives silent
    /// connections.
    void clear_faults();

    /// Stops listening, discards all jobs, and listens again after `restart`.
    void crash(std::chrono::milliseconds restart);

    /// Records whether the platform publishes the leaf as leaving.
    void publish_leaving(bool leaving);

    [[nodiscard]] const leaf& description() const;
    [[nodiscard]] const leaf_record& record() const;
    void reset_record();

private:
    using job_ptr = std::shared_ptr<leaf_job>;
    using call_ptr = std::shared_ptr<leaf_call>;

    void called(const call_ptr& call);
    void cancel(leaf_call& call);
    void report(leaf_call& call);

    boost::asio::awaitable<void> serve(call_ptr call, bool first_on_connection);
    bool refuse(leaf_job& job);
    boost::asio::awaitable<bool> wait_for_slot(job_ptr job);
    boost::asio::awaitable<bool> work(job_ptr job);
    boost::asio::awaitable<void> reply(job_ptr job);
    boost::asio::awaitable<void> wait_while_stalled();
    boost::asio::awaitable<void> restart(std::chrono::milliseconds delay);
    boost::asio::awaitable<void> sleep_for(clock::duration delay);

    void end(leaf_job& job);
    void reply_cancelled(leaf_job& job);
    [[nodiscard]] leaf_record& counters();
    [[nodiscard]] double draw();
    [[nodiscard]] bool applies(fault_kind kind);

    boost::asio::io_context& context;
    leaf_options options;
    leaf leaf_description;
    std::uint32_t items;
    std::shared_ptr<execution_log> executions;
    std::mt19937_64 generator;
    std::shared_ptr<leaf_endpoint> endpoint;

    /// Counters of a leaf that does not listen.
    leaf_record record_without_endpoint;
    service_time_model service_times;
    slot_queue slots;
    index_holdings holdings;
    fault_set faults;
    std::map<job_number, job_ptr> jobs;
    job_number last_job = 0;
    load_report reported_load;
};

} // namespace basilpath::standin
