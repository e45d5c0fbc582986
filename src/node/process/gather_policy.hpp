/// When a query over shards asks a second replica, and when it answers.
#pragma once

#include "node/version/route.hpp"
#include "process/instant.hpp"

#include <cstddef>

namespace basilpath
{

/// The points in time of one query, from what its caller expects.
struct gather_plan
{
    /// A shard that has not answered this long after its call is asked a
    /// second time.
    microseconds hedge_delay{0};

    /// From now on the answer is given as soon as it covers enough.
    instant cutoff{};

    /// A query none of whose calls has left by now is given up: its replicas
    /// have no room, and the caller does better elsewhere or later.
    instant unsent_deadline{};

    /// The last moment for an answer.
    instant deadline{};
};

/// What a plan is made from.
struct gather_times
{
    instant arrived{};

    /// How long the caller had waited when the request arrived.
    microseconds spent{0};

    /// How long the answer will travel to the caller.
    microseconds reply_delay{0};

    /// How much longer it waits.
    milliseconds caller_timeout{0};

    /// What slow calls of the route take.
    microseconds slow{0};
};

/// Answers the load in which a few replicas pause: the second replica is asked
/// when most calls would have been answered, early enough to meet the
/// objective, and what is in is answered just before it.
[[nodiscard]] gather_plan plan_gather(const route& rule,
                                      const gather_times& times);

/// Tells whether a second call for a shard is worth a repeat: before the cutoff
/// it must be expected to be in time. Answers the load in which the second
/// replica of a shard is slow or pauses, so that repeats are left for shards
/// whose second replica is not.
[[nodiscard]] bool is_hedge_useful(const gather_plan& plan, instant now,
                                   microseconds expected);

/// The least number of parts that makes an answer.
[[nodiscard]] std::size_t parts_needed(const gather_rule& rule);

} // namespace basilpath
