/// Times at which a query over shards sends hedged calls and answers.
#pragma once

#include "node/process/replica_health.hpp"
#include "node/version/route.hpp"
#include "process/instant.hpp"

#include <cstddef>

namespace basilpath
{

/// Timing of one query, derived from the time limits of its caller.
struct gather_plan
{
    /// Delay after which a shard that has not answered gets a second call.
    microseconds hedge_delay{0};

    /// From this time the query answers as soon as its coverage suffices.
    instant cutoff{};

    /// A query that has sent none of its calls by this time is given up: its
    /// replicas have no free slots, so the caller should retry at another host
    /// or later.
    instant unsent_deadline{};

    /// Latest time for an answer.
    instant deadline{};
};

/// Inputs of a plan.
struct gather_times
{
    instant arrived{};

    /// Time that the caller had waited before the request arrived.
    microseconds spent{0};

    /// Travel time of the answer to the caller.
    microseconds reply_delay{0};

    /// Remaining time that the caller waits.
    milliseconds caller_timeout{0};

    /// Latency of the slow calls of the route.
    microseconds slow{0};
};

/// Plans a query. Handles replicas that pause: the second replica is called
/// once most calls would have been answered, early enough to meet the
/// objective, and the query answers with the parts it has just before the
/// objective.
[[nodiscard]] gather_plan plan_gather(const route& rule,
                                      const gather_times& times);

/// Returns whether a second call for a shard is worth a repeat: before the
/// cutoff its answer must be expected in time. Needed when the second replica
/// of a shard is slow or pauses, so that repeats remain for shards whose second
/// replica is not.
[[nodiscard]] bool is_hedge_useful(const gather_plan& plan, instant now,
                                   microseconds expected);

/// A hedge held back because no slot was free is reconsidered after this time;
/// a slot becomes free within a request's time of some ten milliseconds.
inline constexpr microseconds room_recheck_interval{20'000};

/// Returns whether a second call before the cutoff finds a free slot at a
/// replica. Needed when demand exceeds what the replicas can serve: the second
/// call would take the slot of another query's first call. `room_scarce` tells
/// of all replicas of the query; a replica that reports no load is taken to
/// have room.
[[nodiscard]] bool finds_room(const replica_health& health, instant now,
                              bool room_scarce);

/// Returns the minimum number of parts for an answer.
[[nodiscard]] std::size_t parts_needed(const gather_rule& rule);

} // namespace basilpath
