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
    bool failed = false;

    /// Calls that left or still may.
    std::size_t sends = 0;

    /// Its call failed, and whether another is made depends on the other
    /// shards: the query may be what breaks calls.
    bool held = false;

    /// A call has reached a replica.
    bool arrived = false;

    /// A further call is a repeat unless no earlier one has left or still may.
    [[nodiscard]] bool next_is_repeat() const
    {
        return this->arrived || !this->calls.empty();
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
