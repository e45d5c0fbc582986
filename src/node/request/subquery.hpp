/// What a host asks of another for the shards of one query, and what it hears.
#pragma once

#include "node/request/caller_query.hpp"
#include "version/ids.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace basilpath
{

/// Names a subquery among all that a host has sent since it started.
using subquery_number = strong<std::uint64_t, struct subquery_number_tag>;

/// A shard that another host is to ask, and its replicas that have been asked.
struct subquery_shard
{
    /// Its place in the route's list of shards.
    std::size_t shard = 0;
    std::vector<leaf_id> asked;
};

/// Asks another host for the best records of some shards. It asks one replica
/// of each, once. Times are durations from the arrival, as clocks of hosts
/// need not agree.
struct subquery
{
    subquery_number number;

    /// The routes by which the query is answered; a host that has another
    /// version does not serve it.
    document_number version;

    /// Name of the route in that version.
    std::string route;

    std::vector<subquery_shard> shards;

    /// What is in after this time is told in one report, the rest when it
    /// comes.
    microseconds report_after{0};

    /// Each part is told in a report of its own, at once: the host that asks
    /// may get it from elsewhere as well, and merged parts cannot be taken
    /// apart.
    bool separate_reports = false;

    /// Until when a part earns full credit, and until when it is of any use.
    microseconds soft_timeout{0};
    microseconds timeout{0};

    /// Records that are not greater than this one are not wanted; empty when
    /// all are.
    std::string record_floor;

    std::shared_ptr<const caller_query> query;
};

/// A shard of a subquery is not wanted any more.
struct subquery_shard_cancel
{
    subquery_number number;
    std::size_t shard = 0;
};

/// Nothing of a subquery is wanted any more.
struct subquery_cancel
{
    subquery_number number;
};

/// The part of a shard has been merged into the records of a report.
struct reported_part
{
    std::size_t shard = 0;
    std::string signature;
};

/// Why the other host has no part of a shard.
enum class missing_reason : std::uint8_t
{
    waiting,      ///< a replica has been asked; it has not answered
    failed,       ///< the replica failed, and may have run the query
    broken,       ///< as failed, and the connection broke
    not_executed, ///< a replica said that it did not run the query
    not_sent      ///< no replica was asked
};

[[nodiscard]] constexpr std::string_view to_text(missing_reason why)
{
    constexpr std::array<std::string_view, 5> names = {
        "waiting", "failed", "broken", "not_executed", "not_sent"};
    return names.at(static_cast<std::size_t>(why));
}

/// A shard without a part, with the replica that was asked.
struct missing_shard
{
    std::size_t shard = 0;
    missing_reason why = missing_reason::waiting;
    leaf_id replica;
};

/// What has come in since the last report of a subquery.
struct subquery_report
{
    subquery_number number;
    std::vector<reported_part> parts;
    std::vector<missing_shard> missing_shards;

    /// The greatest records of these parts, greatest first, less those that
    /// cannot be among the greatest of the answer.
    std::string records;
};

/// Says that a host takes subqueries on this connection.
struct link_hello
{
    /// Largest number of a protocol that it speaks.
    std::uint32_t protocol = 1;
};

using link_message = std::variant<link_hello, subquery, subquery_shard_cancel,
                                  subquery_cancel, subquery_report>;

} // namespace basilpath
