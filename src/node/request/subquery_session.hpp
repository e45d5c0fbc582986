/// Runs a subquery for another host.
#pragma once

#include "node/request/broken_call.hpp"
#include "node/request/request_services.hpp"
#include "node/request/subquery.hpp"
#include "node/request/target_call.hpp"
#include "node/version/route_table.hpp"
#include "request/mailbox.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// Calls one replica of each shard once and reports the parts: those that have
/// arrived when the report is due merged into one, later ones as they arrive.
/// Reports failures at once. The requesting host decides on repeats and charges
/// them to its budget, so that no shard gets a third call.
template <runtime Runtime, target_transport Transport>
class subquery_session
    : public std::enable_shared_from_this<subquery_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;
    using reporter = std::function<void(subquery_report)>;

    subquery_session(services& shared, std::shared_ptr<const route_table> table,
                     const route& rule, subquery asked, reporter report);

    /// Runs until all shards are reported, the deadline passes or the subquery
    /// is cancelled.
    boost::asio::awaitable<void> run();

    /// Abandons the call of one shard.
    void cancel_shard(std::size_t shard);

    /// Abandons all calls and ends the session.
    void cancel();

private:
    /// A shard whose call is pending.
    struct open_shard
    {
        std::size_t shard = 0;
        std::shared_ptr<target_call> call;
    };

    struct call_event
    {
        std::shared_ptr<target_call> call;
        target_result result;
    };

    void call_replica(const subquery_shard& wanted);
    void take(call_event event);
    void report_failure(std::size_t shard, missing_reason why,
                        const leaf_id& replica);
    void report_parts(bool with_waiting);
    [[nodiscard]] std::string select_records();
    void abandon_calls();
    [[nodiscard]] bool nothing_sent() const;
    void give_up_unsent();
    [[nodiscard]] instant now() const;

    services& shared;
    std::shared_ptr<const route_table> table;
    const route& rule;
    subquery asked;
    reporter report;
    instant arrived;
    std::vector<open_shard> open;

    /// Parts that have arrived and are not reported yet, and their records.
    std::vector<reported_part> parts;
    std::vector<std::string> bodies;
    std::vector<std::shared_ptr<const memory_charge>> bodies_memory;

    /// The greatest records reported so far.
    std::string reported_records;

    std::vector<broken_call> broken;
    bool answered = false;

    /// Whether a call has left this host, so that a replica may have run it.
    bool sent = false;
    bool reported = false;
    bool cancelled = false;
    mailbox<Runtime, call_event> events;
};

} // namespace basilpath
