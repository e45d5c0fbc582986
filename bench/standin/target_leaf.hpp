/// One stand-in leaf: connections, slots, service times and faults.
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

/// Plays a target as docs/target-protocol.md describes it. All calls are made
/// on the io_context's thread.
class target_leaf : public std::enable_shared_from_this<target_leaf>
{
public:
    using clock = std::chrono::steady_clock;

    target_leaf(boost::asio::io_context& context, const leaf_options& options,
                leaf description, std::uint32_t items,
                std::shared_ptr<execution_log> executions);

    /// Listens at `address`; returns the port.
    std::uint16_t start(const std::string& address);

    /// Takes over what a new document says of the leaf.
    void configure(const leaf& description, const std::set<held_shard>& named);

    /// Starts a fault.
    void add_fault(const fault& one);

    /// Ends all faults but a crash and what it made silent.
    void clear_faults();

    /// Stops listening and loses all work in progress; listens again after
    /// `restart`.
    void crash(std::chrono::milliseconds restart);

    /// Remembers whether the platform publishes the leaf as leaving.
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

    boost::asio::awaitable<void> serve(call_ptr call, bool fresh);
    bool refuse(leaf_job& job);
    boost::asio::awaitable<bool> wait_for_slot(job_ptr job);
    boost::asio::awaitable<bool> work(job_ptr job);
    boost::asio::awaitable<void> reply(job_ptr job);
    boost::asio::awaitable<void> unstall();
    boost::asio::awaitable<void> restart(std::chrono::milliseconds delay);
    boost::asio::awaitable<void> sleep_for(clock::duration delay);

    void end(leaf_job& job);
    void withdraw(leaf_job& job);
    [[nodiscard]] leaf_record& counters();
    [[nodiscard]] double draw();
    [[nodiscard]] bool strikes(fault_kind kind);

    boost::asio::io_context& context;
    leaf_options options;
    leaf about;
    std::uint32_t items;
    std::shared_ptr<execution_log> executions;
    std::mt19937_64 generator;
    std::shared_ptr<leaf_endpoint> endpoint;

    /// The record of a leaf that does not listen.
    leaf_record unlistened;
    service_time_model service_times;
    slot_queue slots;
    index_holdings holdings;
    fault_set faults;
    std::map<job_number, job_ptr> jobs;
    job_number last_job = 0;
    load_report told_load;
};

} // namespace basilpath::standin
