/// The decisions on one request, kept until its end, when it is decided
/// whether to log them.
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

/// A decision, or its result.
enum class decision : std::uint8_t
{
    call_first,    ///< a call to the replica with the lowest expected latency
    call_hedge,    ///< a call to a second replica, as the first is slow
    call_retry,    ///< a call to another replica, as a call failed
    no_replica,    ///< no replica is left to call
    no_budget,     ///< the retry budget is spent
    answered,      ///< a replica answered with success
    failed,        ///< a replica answered with a failure
    not_executed,  ///< a replica did not run the call
    broken,        ///< the connection ended without a whole answer
    unsent,        ///< the call could not be sent
    taken_back,    ///< cancelled unsent in favour of another replica
    gate_full,     ///< the limit of requests in progress is reached
    no_room,       ///< a hedge was due, and no slot was free for it
    delegated,     ///< a host in another failure domain calls a replica there
    delegate_part, ///< that host sent the part
    delegate_lack, ///< that host has no part, or none yet
    delegate_lost  ///< that host will send no further report
};

[[nodiscard]] std::string_view to_text(decision what);

/// The kind of record that the result of a call gets.
[[nodiscard]] decision to_decision(const target_result& result);

/// One decision with the inputs on which it is based.
struct decision_record
{
    decision what = decision::call_first;
    instant at{};

    /// Index of the shard in the route; zero where the route has none.
    std::size_t shard = 0;

    leaf_id replica;

    /// For a call: the expected latency. For a result: the latency.
    microseconds time{0};

    /// For a call: this host's pending calls at the replica. For a result: the
    /// HTTP status. For a full gate: requests in progress.
    unsigned number = 0;

    /// For a result: the connection that carried the call.
    connection_use connection{};

    /// For `delegate_lack`: why the host has no part.
    missing_reason absent = missing_reason::waiting;

    /// For a full gate: limit of requests in progress.
    std::size_t limit = 0;

    /// For a call: age of the replica's last load report, if there is one.
    std::optional<milliseconds> load_age;

    /// For a shard that is delegated: the other host.
    peer_address host;

    /// When no call was made: the service, and why its replicas could not be
    /// chosen.
    service_name service;
    unavailable_replicas unavailable;
};

/// Record of a call to a replica of a shard.
[[nodiscard]] decision_record call_record(decision kind, instant at,
                                          std::size_t shard,
                                          const leaf_id& replica,
                                          microseconds expected,
                                          const replica_health& health);

/// Record of the result of a call; `call` is null when it no longer exists.
[[nodiscard]] decision_record call_result_record(instant at, std::size_t shard,
                                                 const target_call* call,
                                                 const target_result& result);

/// Record of a call that was cancelled before it was sent.
[[nodiscard]] decision_record
cancelled_call_record(instant at, std::size_t shard, const target_call& call);

/// Record of a call that was due but not made.
[[nodiscard]] decision_record
no_call_record(decision why, instant at, std::size_t shard,
               const service_name& service,
               const unavailable_replicas& unavailable);

/// Record of a request that the overload gate refused.
[[nodiscard]] decision_record gate_refusal_record(instant at,
                                                  const service_name& service,
                                                  const gate_usage& usage);

/// Record of a shard of which another host has no part.
[[nodiscard]] decision_record missing_shard_record(instant at,
                                                   const peer_address& host,
                                                   const missing_shard& absent);

/// Record of a shard that is delegated to another host, or of its result.
[[nodiscard]] decision_record delegation_record(decision what, instant at,
                                                std::size_t shard,
                                                const peer_address& host);

/// Summary of a request for the log.
struct request_summary
{
    request_id id;
    std::string route;
    document_number version;
    instant arrived{};

    /// How long the caller waits, and how much of that was spent before the
    /// request arrived.
    milliseconds caller_timeout{0};
    microseconds spent{0};

    unsigned status = 0;
    std::string outcome;
    std::size_t parts = 0;
    std::size_t shards = 0;
    std::size_t repeats = 0;
    microseconds took{0};

    /// The request was refused, failed, was late or lacked parts.
    bool noteworthy = false;
};

/// Decisions in the order in which they were made; formatted only when they are
/// logged.
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

    void reserve(std::size_t count)
    {
        this->records.reserve(count);
    }

private:
    std::vector<decision_record> records;
};

} // namespace basilpath
