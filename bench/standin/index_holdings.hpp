/// Shards and index versions that one leaf holds.
#pragma once

#include "version/ids.hpp"

#include <chrono>
#include <compare>
#include <map>
#include <set>

namespace basilpath::standin
{

/// A shard of one index version of a service.
struct held_shard
{
    service_name service;
    version_number version;
    shard_number shard;

    auto operator<=>(const held_shard&) const = default;
};

/// Tracks when a leaf holds each shard: from a delay after a document assigns
/// the shard until a delay after a document no longer does.
class index_holdings
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Applies the assignment of a document: new shards are held from `from`,
    /// removed ones until `until`.
    void assign(const std::set<held_shard>& named, time_point from,
                time_point until);

    /// Returns whether no shard has been assigned so far.
    [[nodiscard]] bool empty() const;

    /// Returns whether the leaf holds the shard at `now`.
    [[nodiscard]] bool holds(const held_shard& one, time_point now) const;

private:
    /// Period in which a shard is held, without `until` itself.
    struct span
    {
        time_point from;
        time_point until;
    };

    std::map<held_shard, span> spans;
};

} // namespace basilpath::standin
