/// The decisions on one request, kept until it is known whether they are
/// wanted.
#pragma once

#include "node/process/overload_gate.hpp"
#include "node/process/placement.hpp"
#include "node/request/subquery.hpp"
#include "node/request/target_call.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// What was decided, or what came of it.
enum class decision : std::uint8_t
{
    call_first,    ///< a call to the replica that is expected to answer first
    call_hedge,    ///< a second replica, because the first is slow
    call_retry,    ///< another replica, because a call failed
    no_replica,    ///< no replica is left to ask
    no_budget,     ///< the budget of repeats is spent
    answered,      ///< a replica answered with success
    failed,        ///< a replica answered with a failure
    not_executed,  ///< a replica did not run the call
    broken,        ///< the connection ended without a whole answer
    unsent,        ///< the call could not be sent
    taken_back,    ///< the call had not left when another replica was asked
    gate_full,     ///< as many requests are under way as may be
    delegated,     ///< a host of another failure domain asks a replica there
    delegate_part, ///< that host sent the part
    delegate_lack, ///< that host got none, or has none yet
    delegate_lost  ///< that host will send no part any more
};

[[nodiscard]] std::string_view to_text(decision what);

/// What the result of a call means.
[[nodiscard]] decision to_decision(const target_result& result);

/// One decision with the inputs that it was made from.
struct decision_record
{
    decision what = decision::call_first;
    instant at{};

    /// Number of the shard; zero where there are none.
    std::size_t shard = 0;

    leaf_id replica;

    /// For a call: when the replica was expected to answer. For a result: how
    /// long it took.
    microseconds time{0};

    /// For a call: calls of this host at the replica. For a result: status. For
    /// a full gate: requests under way.
    unsigned number = 0;

    /// Why another host has no part.
    missing_reason absent = missing_reason::waiting;

    /// For a full gate: requests that may be under way.
    std::size_t limit = 0;

    /// For a call: how old the replica's report of its load was, if it has
    /// sent one.
    std::optional<milliseconds> load_age;

    /// For a shard that another host asks: that host.
    peer_address host;

    /// When no call was made: whose replica was wanted, and why those that are
    /// known could not be chosen.
    service_name service;
    unavailable_replicas unavailable;
};

/// The record of a call that is made to a replica of a shard.
[[nodiscard]] decision_record
call_made(decision kind, instant at, std::size_t shard, const leaf_id& replica,
          microseconds expected, const replica_health& health);

/// The record of the result of a call, which may be gone.
[[nodiscard]] decision_record call_ended(instant at, std::size_t shard,
                                         const target_call* call,
                                         const target_result& result);

/// The record of a call that was taken back before it had left.
[[nodiscard]] decision_record call_taken_back(instant at, std::size_t shard,
                                              const target_call& call);

/// The record of a call that was wanted and not made.
[[nodiscard]] decision_record no_call(decision why, instant at,
                                      std::size_t shard,
                                      const service_name& service,
                                      const unavailable_replicas& unavailable);

/// The record of a request that is not begun, as others have taken its place.
[[nodiscard]] decision_record gate_refusal_record(instant at,
                                                  const service_name& service,
                                                  const gate_usage& usage);

/// The record of a shard of which another host has no part.
[[nodiscard]] decision_record missing_shard_record(instant at,
                                                   const peer_address& host,
                                                   const missing_shard& absent);

/// The record of what a host does, or did, for a shard.
[[nodiscard]] decision_record delegation_record(decision what, instant at,
                                                std::size_t shard,
                                                const peer_address& host);

/// What is said once of a request.
struct request_summary
{
    request_id id;
    std::string route;
    document_number version;
    instant arrived{};

    /// How long the caller was prepared to wait, and had waited before.
    milliseconds caller_timeout{0};
    microseconds spent{0};

    unsigned status = 0;
    std::string outcome;
    std::size_t parts = 0;
    std::size_t shards = 0;
    std::size_t repeats = 0;
    microseconds took{0};

    /// Refused, failed, late or with parts missing.
    bool noteworthy = false;
};

/// Decisions in the order in which they were made. Formatted only when they
/// are logged.
class decision_trace
{
public:
    void add(decision_record one)
    {
        this->records.push_back(std::move(one));
    }

    [[nodiscard]] const std::vector<decision_record>& decisions() const
    {
        return this->records;
    }

    /// Makes room for what a request usually needs.
    void reserve(std::size_t count)
    {
        this->records.reserve(count);
    }

private:
    std::vector<decision_record> records;
};

} // namespace basilpath
