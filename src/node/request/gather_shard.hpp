/// State of one shard of a gather query.
#pragma once

#include "node/request/target_call.hpp"
#include "process/instant.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace basilpath
{

/// The calls to the replicas of one shard and their results.
struct gather_shard
{
    /// Replicas that a call was sent to.
    std::vector<leaf_id> asked;

    /// When the first call for the part was made, and when the first one was
    /// written to its connection.
    std::optional<instant> requested_at;
    std::optional<instant> sent_at;

    /// Calls without a result yet.
    std::vector<std::shared_ptr<target_call>> calls;

    /// When a hedge is sent to a second replica unless the part has arrived.
    instant hedge_at{};

    std::optional<target_reply> part;

    /// Subqueries without a final report on this shard.
    std::size_t delegations = 0;

    /// Another host sent no call for this shard; further calls are sent to
    /// replicas directly, not through other hosts.
    bool direct_only = false;

    /// The part may arrive merged with others; it then replaces a part that
    /// arrived alone.
    bool may_arrive_merged = false;

    bool failed = false;

    /// Calls that were written to a connection or still may be.
    std::size_t sends = 0;

    /// A call failed, and its retry waits for results of other shards, because
    /// the query itself may be what breaks calls.
    bool retry_deferred = false;

    /// Calls that have reached a replica, or may have through another host.
    std::size_t arrivals = 0;

    /// Those of them that the replica answered not to have run.
    std::size_t refusals = 0;

    /// A hedge was due and held back, as no slot was free for it.
    bool held_back = false;

    /// Returns whether a further call would run beside a pending one. Calls
    /// that wait on this host are cancelled first.
    [[nodiscard]] bool next_runs_beside() const
    {
        return this->delegations > 0 ||
               std::ranges::any_of(this->calls, [](const auto& call)
                                   { return call->on_wire; });
    }

    /// Returns whether no call or subquery is pending that could bring the
    /// part.
    [[nodiscard]] bool idle() const
    {
        return this->calls.empty() && this->delegations == 0;
    }

    /// Returns whether a further call counts as a repeat: an earlier one has
    /// been sent or still may be.
    [[nodiscard]] bool next_is_repeat() const
    {
        return this->arrivals > 0 || !this->idle();
    }

    /// How long the first call waited on this host before it was written to a
    /// connection, or has waited so far; nothing when no call was made.
    [[nodiscard]] std::optional<microseconds> send_delay(instant now) const
    {
        if (!this->requested_at)
        {
            return std::nullopt;
        }
        const auto sent = std::ranges::find_if(this->calls, [](const auto& call)
                                               { return call->on_wire; });
        const instant left = this->sent_at               ? *this->sent_at
                             : sent != this->calls.end() ? (*sent)->sent
                                                         : now;
        return left - *this->requested_at;
    }

    /// Returns whether a replica has run a call or may have.
    [[nodiscard]] bool may_have_run() const
    {
        return this->arrivals > this->refusals ||
               std::ranges::any_of(this->calls, [](const auto& call)
                                   { return call->on_wire; });
    }
};

} // namespace basilpath
