/// One shard of a query.
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

/// The calls for one shard and what came of them.
struct gather_shard
{
    /// Replicas that have been asked.
    std::vector<leaf_id> asked;

    /// When the part was first wanted, and when the first call for it left.
    std::optional<instant> wanted_at;
    std::optional<instant> sent_at;

    /// Calls whose result is awaited.
    std::vector<std::shared_ptr<target_call>> calls;

    /// When a second replica is asked unless the part is in.
    instant hedge_at{};

    std::optional<target_reply> part;

    /// Subqueries of which nothing final has been told for this shard.
    std::size_t delegations = 0;

    /// A host that was asked did not ask a replica; no other host is asked.
    bool direct_only = false;

    /// The part may come merged with others, and then replaces one that came
    /// alone.
    bool may_merge = false;

    bool failed = false;

    /// Calls that left or still may.
    std::size_t sends = 0;

    /// Its call failed, and whether another is made depends on the other
    /// shards: the query may be what breaks calls.
    bool held = false;

    /// A call has reached a replica, or may have through another host.
    bool arrived = false;

    /// The same before the last subquery was sent.
    bool arrived_before = false;

    /// Nothing is out that could bring the part.
    [[nodiscard]] bool idle() const
    {
        return this->calls.empty() && this->delegations == 0;
    }

    /// A further call is a repeat unless no earlier one has left or still may.
    [[nodiscard]] bool next_is_repeat() const
    {
        return this->arrived || !this->idle();
    }

    /// How long the first call waited here before it left, or has waited;
    /// nothing when there was none.
    [[nodiscard]] std::optional<microseconds> waited(instant now) const
    {
        if (!this->wanted_at)
        {
            return std::nullopt;
        }
        const auto sent = std::ranges::find_if(this->calls, [](const auto& call)
                                               { return call->on_wire; });
        const instant left = this->sent_at               ? *this->sent_at
                             : sent != this->calls.end() ? (*sent)->sent
                                                         : now;
        return left - *this->wanted_at;
    }

    /// Some call has reached a replica or may have.
    [[nodiscard]] bool may_have_run() const
    {
        return this->arrived ||
               std::ranges::any_of(this->calls, [](const auto& call)
                                   { return call->on_wire; });
    }
};

} // namespace basilpath
