/// Gathers parts of a query for another host.
#pragma once

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

/// Asks one replica of each shard, once, and reports what comes: the parts that
/// are in when a report is due, merged, and the rest one by one. Failures are
/// told at once. The host that asks decides on repeats and charges them, so
/// that no shard is asked a third time.
template <runtime Runtime, target_transport Transport>
class subquery_session
    : public std::enable_shared_from_this<subquery_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;
    using reporter = std::function<void(subquery_report)>;

    subquery_session(services& shared, std::shared_ptr<const route_table> table,
                     const route& rule, subquery asked, reporter report);

    /// Runs until all is told, the time ends or it is cancelled.
    boost::asio::awaitable<void> run();

    /// A shard is not wanted any more.
    void cancel_shard(std::size_t shard);

    /// Nothing is wanted any more.
    void cancel();

private:
    /// A shard that is being asked for.
    struct open_shard
    {
        std::size_t shard = 0;
        std::shared_ptr<target_call> call;
    };

    /// The result of a call.
    struct call_event
    {
        std::shared_ptr<target_call> call;
        target_result result;
    };

    void ask(const subquery_shard& wanted);
    void take(call_event event);
    void report_failure(std::size_t shard, missing_reason why,
                        const leaf_id& replica);
    void report_parts(bool with_waiting);
    [[nodiscard]] std::string select_records();
    void give_up_calls();
    [[nodiscard]] instant now() const;

    services& shared;
    std::shared_ptr<const route_table> table;
    const route& rule;
    subquery asked;
    reporter report;
    instant arrived;
    std::vector<open_shard> open;

    /// Parts that are in and have not been told.
    std::vector<reported_part> parts;
    std::vector<std::string> bodies;

    /// The greatest records of what has been told.
    std::string told_records;

    std::vector<leaf_id> broken;
    bool answered = false;
    bool reported = false;
    bool cancelled = false;
    mailbox<Runtime, call_event> events;
};

} // namespace basilpath
