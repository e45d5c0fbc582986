#include "node/process/delegation_policy.hpp"

#include "node/request/record_merge.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Bytes of a call to a replica and of its answer besides request and records:
// request line, headers set by this host, status line, signature, load.
constexpr double call_overhead = 350;

// Overhead bytes of a subquery and its report, and of each shard in it: numbers
// and a signature.
constexpr double subquery_overhead = 120;
constexpr double shard_overhead = 60;

// Delegation adds a host whose failure may fail the query, so it must reduce
// the bytes at least to this share.
constexpr double max_byte_share = 0.75;

} // namespace

bool delegation_saves_bytes(const delegation_inputs& query)
{
    const auto shards = static_cast<double>(query.shards);
    const auto wanted = static_cast<double>(query.most_records * record_bytes);
    // The greatest records are spread evenly over the parts.
    const double bounded =
        query.bounding_parts > 0
            ? wanted * shards / static_cast<double>(query.bounding_parts)
            : wanted;
    const double direct =
        shards * (query.request_bytes + call_overhead + query.part_bytes);
    const double delegated = query.request_bytes + subquery_overhead +
                             shards * shard_overhead +
                             std::min(shards * query.part_bytes, bounded);
    return delegated < max_byte_share * direct;
}

} // namespace basilpath
