/// Which shards of which index versions one leaf holds.
#pragma once

#include "version/ids.hpp"

#include <chrono>
#include <compare>
#include <map>
#include <set>

namespace basilpath::standin
{

/// One shard of one version of one service.
struct held_shard
{
    service_name service;
    version_number version;
    shard_number shard;

    auto operator<=>(const held_shard&) const = default;
};

/// Shards come some time after a document names them and go some time after
/// it has stopped naming them.
class index_holdings
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Takes over what a document names. New shards are held from `from`,
    /// those no longer named until `until`.
    void assign(const std::set<held_shard>& named, time_point from,
                time_point until);

    /// Whether no document has been taken over yet.
    [[nodiscard]] bool empty() const;

    [[nodiscard]] bool holds(const held_shard& one, time_point now) const;

private:
    /// Time during which a shard is held.
    struct span
    {
        time_point from;
        time_point until;
    };

    std::map<held_shard, span> spans;
};

} // namespace basilpath::standin
