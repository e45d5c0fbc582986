/// Progress of a query over shards, and the decisions that depend on it.
#pragma once

#include "node/request/broken_call.hpp"
#include "node/request/gather_shard.hpp"
#include "node/version/route.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace basilpath
{

/// Counts the parts and failures of one query and makes the decisions that
/// depend on more than one shard; the calls themselves are made elsewhere.
/// Handles replicas that lose answers, whose calls are retried, and queries
/// that crash replicas, which must not be sent to further replicas.
class gather_progress
{
public:
    explicit gather_progress(const route& rule);

    [[nodiscard]] gather_shard& shard(std::size_t number)
    {
        return this->shards[number];
    }

    [[nodiscard]] std::span<const gather_shard> all() const
    {
        return this->shards;
    }

    /// Number of shards whose part has not arrived.
    [[nodiscard]] std::size_t missing() const
    {
        return this->shards.size() - this->parts;
    }

    /// Least number of parts that reaches the coverage of the route.
    [[nodiscard]] std::size_t needed() const
    {
        return this->needed_parts;
    }

    /// Returns whether the part of any shard has arrived.
    [[nodiscard]] bool any_part() const
    {
        return this->parts > 0;
    }

    /// Returns whether the parts that have arrived reach the coverage.
    [[nodiscard]] bool enough() const
    {
        return this->parts >= this->needed_parts;
    }

    /// Returns whether each shard has its part or has failed.
    [[nodiscard]] bool settled() const
    {
        return this->parts + this->failures == this->shards.size();
    }

    /// Returns whether too many shards have failed to reach the coverage.
    [[nodiscard]] bool coverage_unreachable() const
    {
        return this->shards.size() - this->failures < this->needed_parts;
    }

    /// Returns whether a replica has run the query or may have.
    [[nodiscard]] bool may_have_run() const;

    /// Returns whether the query itself may be what breaks calls: several calls
    /// broke and no part arrived.
    [[nodiscard]] bool query_suspected() const;

    /// Returns whether the attempt limit of the route allows another call for
    /// the shard.
    [[nodiscard]] bool may_retry(const gather_shard& one) const;

    /// Returns whether a hedge may be sent for a slow shard.
    [[nodiscard]] bool may_hedge(const gather_shard& one) const;

    /// When the next hedge is due; nothing when no shard may be hedged.
    [[nodiscard]] std::optional<instant> next_hedge() const;

    /// How long calls waited on this host before they were sent: a high
    /// quantile over the shards that leaves out the few shards whose replicas
    /// pause.
    [[nodiscard]] microseconds typical_wait(instant now) const;

    /// Stores the part of a shard.
    void add_part(gather_shard& one, target_reply reply);

    /// Records a broken call of any shard.
    void note_broken(const leaf_id& replica, instant now)
    {
        this->broken_calls.push_back({replica, now});
    }

    [[nodiscard]] const std::vector<broken_call>& broken() const
    {
        return this->broken_calls;
    }

    /// Counts the shard as failed when it has no part and no call or subquery
    /// is pending that could bring one.
    void fail_if_idle(gather_shard& one);

    /// Returns the shards whose deferred retry can now be decided, and clears
    /// their mark: a part has arrived, or no shard has a pending call.
    [[nodiscard]] std::vector<std::size_t> release_deferred();

private:
    std::vector<gather_shard> shards;
    std::size_t needed_parts;
    std::size_t max_sends;
    std::size_t parts = 0;
    std::size_t failures = 0;
    std::vector<broken_call> broken_calls;
};

} // namespace basilpath
