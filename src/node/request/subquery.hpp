/// Messages between hosts that gather the shards of one query together.
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

/// Identifies a subquery among all that a host has sent since it started.
using subquery_number = strong<std::uint64_t, struct subquery_number_tag>;

/// A shard that another host is to call, and its replicas called so far.
struct subquery_shard
{
    /// Index into the route's list of shards.
    std::size_t shard = 0;
    std::vector<leaf_id> asked;
};

/// Requests the greatest records of some shards from another host, which calls
/// one replica of each shard once. Times are durations from the arrival, as the
/// clocks of hosts need not agree.
struct subquery
{
    subquery_number number;

    /// Version of the route table; a host with another version refuses the
    /// subquery.
    document_number version;

    /// Name of the route in that version.
    std::string route;

    std::vector<subquery_shard> shards;

    /// The parts that have arrived after this time go into one report; later
    /// ones are reported as they arrive.
    microseconds report_after{0};

    /// Each part is reported alone and at once: the requesting host may also
    /// receive it from elsewhere, and merged parts cannot be split again.
    bool separate_reports = false;

    /// Until when a part earns full credit, and until when it is useful at all.
    microseconds soft_timeout{0};
    microseconds timeout{0};

    /// Only records greater than this one are reported; empty when all are.
    std::string record_floor;

    std::shared_ptr<const caller_query> query;
};

/// Cancels one shard of a subquery.
struct subquery_shard_cancel
{
    subquery_number number;
    std::size_t shard = 0;
};

/// Cancels a subquery.
struct subquery_cancel
{
    subquery_number number;
};

/// A shard whose part is merged into the records of a report.
struct reported_part
{
    std::size_t shard = 0;
    std::string signature;
};

/// Why a subquery has no part of a shard.
enum class missing_reason : std::uint8_t
{
    waiting,      ///< a replica was called and has not answered yet
    failed,       ///< the replica failed and may have run the query
    broken,       ///< as `failed`, and the connection broke
    not_executed, ///< the replica answered that it did not run the query
    not_sent      ///< no call was sent to a replica
};

[[nodiscard]] constexpr std::string_view to_text(missing_reason why)
{
    constexpr std::array<std::string_view, 5> names = {
        "waiting", "failed", "broken", "not_executed", "not_sent"};
    return names.at(static_cast<std::size_t>(why));
}

/// A shard without a part, and the replica that was called.
struct missing_shard
{
    std::size_t shard = 0;
    missing_reason why = missing_reason::waiting;
    leaf_id replica;
};

/// The results of a subquery since its last report.
struct subquery_report
{
    subquery_number number;
    std::vector<reported_part> parts;
    std::vector<missing_shard> missing_shards;

    /// The greatest records of these parts, greatest first, without those that
    /// cannot be among the greatest of the answer.
    std::string records;
};

/// Announces that a host accepts subqueries on this connection.
struct link_hello
{
    /// Highest protocol version that the host supports.
    std::uint32_t protocol = 1;
};

using link_message = std::variant<link_hello, subquery, subquery_shard_cancel,
                                  subquery_cancel, subquery_report>;

} // namespace basilpath
