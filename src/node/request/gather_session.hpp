/// One query over many shards.
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

/// The parts of a query and those that are missing.
struct gathered_answer
{
    /// Signatures of the parts that are in.
    std::vector<std::string> signatures;
    std::size_t missing = 0;
    std::string records;
};

/// How a query over shards ended.
enum class gather_end : std::uint8_t
{
    answered,             ///< enough parts are in
    caller_left,          ///< nobody waits for the answer
    coverage_unreachable, ///< too many shards have failed for an answer
    not_attempted,        ///< too many shards have no replica; nothing was sent
    overloaded,           ///< no replica had room for it; nothing was sent
    timed_out             ///< the time ended with too few parts
};

struct gather_result
{
    gather_end end = gather_end::timed_out;
    gathered_answer answer;

    /// Shards without a part, for the log.
    std::size_t failed = 0;

    /// Calls beyond the first of each shard.
    std::size_t repeats = 0;
    /// How long its calls waited here before they left.
    microseconds waited{0};
};

/// Asks a replica of each shard, asks a second one where the first is slow or
/// fails, and answers with what is in when the objective is near. Replicas of
/// other failure domains are asked through a host there where that saves bytes.
/// The routes stay those with which the query began.
template <runtime Runtime, target_transport Transport>
class gather_session
    : public std::enable_shared_from_this<gather_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;

    gather_session(services& shared, std::shared_ptr<const route_table> table,
                   const route& rule, std::shared_ptr<const caller_query> query,
                   gather_times times, decision_trace& trace);

    /// Runs the query to its end.
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

    /// A report of another host; nothing when none will come any more.
    struct report_event
    {
        subquery_number number;
        std::optional<subquery_report> report;
    };

    using any_event = std::variant<shard_event, report_event>;

    [[nodiscard]] std::size_t shards_with_replica() const;
    void ask(std::size_t number);
    void take_back_unsent(std::size_t number);
    void start_call(std::size_t number, const leaf_id& to);
    void choose_domain();
    void ask_remote();
    bool delegate_shards(const failure_domain& domain,
                         const std::vector<remote_choice>& shards);
    [[nodiscard]] std::string bounding_record() const;
    void take(shard_event event);
    void take(report_event event);
    void take_parts(subquery_report& report);
    void take_lack(const missing_shard& absent,
                   const gather_delegations::sent_subquery& from,
                   subquery_number number);
    void lose_subquery(subquery_number number);
    void cancel_shard(std::size_t number);
    void note_overdue(std::size_t number, instant now);
    void note_result(const shard_event& event);
    void retry_or_fail(std::size_t number);
    void settle_held();
    void hedge_due(instant now);
    [[nodiscard]] instant next_wake(instant now) const;
    [[nodiscard]] gather_end lost_reach() const;
    void give_up_calls(gather_shard& shard);
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

    /// The failure domain that is preferred where none of the shard's replicas
    /// stands here.
    std::optional<failure_domain> preferred_domain;
    std::size_t repeats = 0;

    /// The first calls have been made; what is asked now are repeats.
    bool first_asked = false;
    mailbox<Runtime, any_event> events;
};

} // namespace basilpath
