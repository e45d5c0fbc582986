/// One query over many shards.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/process/gather_policy.hpp"
#include "node/request/request_journal.hpp"
#include "node/request/request_services.hpp"
#include "node/request/target_call.hpp"
#include "node/version/route_table.hpp"
#include "request/mailbox.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
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
    answered,      ///< enough parts are in
    caller_left,   ///< nobody waits for the answer
    out_of_reach,  ///< too many shards have failed for an answer
    not_attempted, ///< too many shards have no replica; nothing was sent
    timed_out      ///< the time ended with too few parts
};

struct gather_result
{
    gather_end end = gather_end::timed_out;
    gathered_answer answer;

    /// Shards without a part, for the log.
    std::size_t failed = 0;

    /// Calls beyond the first of each shard.
    std::size_t repeats = 0;
};

/// Asks a replica of each shard, asks a second one where the first is slow or
/// fails, and answers with what is in when the objective is near. The routes
/// stay those with which the query began.
template <runtime Runtime, target_transport Transport>
class gather_session
    : public std::enable_shared_from_this<gather_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;

    gather_session(services& shared, std::shared_ptr<const route_table> table,
                   const route& rule, std::shared_ptr<const caller_query> query,
                   gather_times times, request_journal& journal);

    /// Runs the query to its end.
    boost::asio::awaitable<gather_result>
    run(std::shared_ptr<caller_presence> presence);

private:
    /// One shard of the query.
    struct shard_state
    {
        std::vector<leaf_id> asked;
        std::vector<std::shared_ptr<target_call>> calls;
        instant hedge_at{};
        std::optional<target_reply> part;
        bool failed = false;

        /// Calls that left or still may.
        std::size_t sends = 0;

        /// Its call failed, and whether another is made depends on the other
        /// shards: the query may be what breaks calls.
        bool held = false;

        /// A call has reached a replica, so that a further one is a repeat.
        bool arrived = false;
    };

    /// The result of a call for a shard.
    struct shard_event
    {
        std::size_t shard = 0;
        std::shared_ptr<target_call> call;
        target_result result;
    };

    [[nodiscard]] std::size_t shards_with_replica() const;
    void ask(std::size_t shard);
    [[nodiscard]] bool is_repeat(const shard_state& state) const;
    void take_back_unsent(shard_state& state);
    void start_call(std::size_t shard, const leaf_id& to);
    void note_result(const shard_event& event);
    void take(shard_event event);
    void retry_or_fail(std::size_t shard);
    void settle_held();
    [[nodiscard]] bool is_suspect() const;
    [[nodiscard]] bool may_ask_again(const shard_state& state) const;
    void hedge_due(instant now);
    [[nodiscard]] instant next_wake(instant now) const;
    [[nodiscard]] bool out_of_reach() const;
    [[nodiscard]] gather_end lost_reach() const;
    [[nodiscard]] bool is_on_wire(const shard_state& state) const;
    void give_up_calls();
    void note_crashes();
    gather_result conclude(gather_end end);
    [[nodiscard]] instant now() const;

    services& shared;
    std::shared_ptr<const route_table> table;
    const route& rule;
    std::shared_ptr<const caller_query> query;
    gather_plan plan;
    request_journal& journal;
    microseconds usual{0};
    std::size_t needed = 0;
    std::vector<shard_state> shards;
    std::size_t parts = 0;
    std::size_t failures = 0;
    std::size_t repeats = 0;

    /// Replicas whose calls broke, whichever shard they were for.
    std::vector<leaf_id> broken;
    mailbox<Runtime, shard_event> events;
};

} // namespace basilpath
