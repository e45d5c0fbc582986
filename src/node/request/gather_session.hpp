/// Runs one query over many shards.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/process/gather_policy.hpp"
#include "node/request/decision_trace.hpp"
#include "node/request/gather_delegations.hpp"
#include "node/request/gather_progress.hpp"
#include "node/request/request_services.hpp"
#include "node/request/target_call.hpp"
#include "node/version/route_table.hpp"
#include "request/mailbox.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace basilpath
{

/// The merged answer to a query, with the number of missing parts.
struct gathered_answer
{
    /// Signatures of the parts that arrived.
    std::vector<std::string> signatures;
    std::size_t missing = 0;
    std::string records;
};

/// How a query over shards ended.
enum class gather_end : std::uint8_t
{
    answered,             ///< enough parts arrived
    caller_left,          ///< the caller closed its connection
    coverage_unreachable, ///< too many shards failed; coverage cannot be
                          ///< reached
    not_attempted,        ///< too many shards have no replica; nothing was sent
    overloaded,           ///< no replica had a free slot; nothing was sent
    timed_out             ///< the deadline passed with too few parts
};

struct gather_result
{
    gather_end end = gather_end::timed_out;
    gathered_answer answer;

    /// Number of shards without a part, for the log.
    std::size_t failed = 0;

    /// Number of calls beyond the first of each shard.
    std::size_t repeats = 0;

    /// Whether replicas at the limit that they name left shards without a call.
    bool limited = false;

    /// Whether a shard had only replicas in evacuated failure domains.
    bool evacuated = false;

    /// How long calls waited on this host before they were sent.
    microseconds waited{0};
};

/// Calls one replica of each shard, sends a hedge or a retry to a second one
/// where the first is slow or fails, and answers with the parts that have
/// arrived shortly before the latency objective. Calls to replicas in another
/// failure domain go through a host there where that saves bytes. The query
/// keeps the route table with which it began.
template <runtime Runtime, target_transport Transport>
class gather_session
    : public std::enable_shared_from_this<gather_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;

    gather_session(services& shared, std::shared_ptr<const route_table> table,
                   const route& rule, std::shared_ptr<const caller_query> query,
                   gather_times times, decision_trace& trace);

    /// Runs the query until it is answered, fails or the caller disconnects.
    boost::asio::awaitable<gather_result>
    run(std::shared_ptr<caller_presence> presence);

private:
    /// The result of a call for a shard.
    struct shard_event
    {
        std::size_t shard = 0;
        std::shared_ptr<target_call> call;
        target_result result;
    };

    /// A report of another host; nothing when no further report will arrive.
    struct report_event
    {
        subquery_number number;
        std::optional<subquery_report> report;
    };

    using any_event = std::variant<shard_event, report_event>;

    [[nodiscard]] placement_query placement(instant now) const;
    [[nodiscard]] std::size_t shards_with_replica();
    void call_replica(std::size_t number);
    [[nodiscard]] bool lacks_room(std::size_t number,
                                  const replica_health& health);
    void cancel_unsent(std::size_t number);
    void start_call(std::size_t number, const leaf_id& to);
    void choose_preferred_domain();
    void send_subqueries();
    bool delegate_shards(const failure_domain& domain,
                         const std::vector<remote_choice>& shards);
    [[nodiscard]] std::string lowest_kept_record() const;
    void take(shard_event event);
    void take(report_event event);
    void add_parts(subquery_report& report);
    void on_missing_shard(const missing_shard& absent,
                          const gather_delegations::sent_subquery& from,
                          subquery_number number);
    void fail_subquery(subquery_number number);
    void cancel_shard(std::size_t number);
    void note_overdue(std::size_t number, instant now);
    void note_result(const shard_event& event);
    void retry_or_fail(std::size_t number);
    void settle_deferred();
    void hedge_due(instant now);
    [[nodiscard]] instant next_wake(instant now) const;
    [[nodiscard]] gather_end unreachable_end() const;
    void abandon_calls(gather_shard& shard);
    gather_result conclude(gather_end end);
    [[nodiscard]] instant now() const;

    services& shared;
    std::shared_ptr<const route_table> table;
    const route& rule;
    std::shared_ptr<const caller_query> query;
    gather_plan plan;
    decision_trace& trace;
    microseconds usual{0};
    gather_progress progress;
    gather_delegations delegations;

    /// Failure domains with a host that gathers for this one.
    std::vector<failure_domain> delegated_domains;

    /// The failure domain preferred for shards without a replica in this one.
    std::optional<failure_domain> preferred_domain;
    std::size_t repeats = 0;
    bool limited = false;
    bool evacuated = false;

    /// The first calls have been made; further calls are repeats.
    bool first_calls_made = false;
    mailbox<Runtime, any_event> events;
};

} // namespace basilpath
