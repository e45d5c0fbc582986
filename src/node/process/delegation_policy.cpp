#include "node/process/delegation_policy.hpp"

#include "node/request/record_merge.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Bytes of a call to a replica and of its answer besides request and records:
// request line, the headers set here, status line, signature, load.
constexpr double call_overhead = 350;

// The same of a subquery and of its report, and for each shard of it: numbers
// and a signature.
constexpr double subquery_overhead = 120;
constexpr double shard_overhead = 60;

// A host more takes part in the answer and may fail it; that is worth while
// when at most this share of the bytes remains.
constexpr double worthwhile_share = 0.75;

} // namespace

bool delegation_saves_bytes(const delegation_inputs& query)
{
    const auto shards = static_cast<double>(query.shards);
    const auto wanted = static_cast<double>(query.most_records * record_bytes);
    // Of the greatest records each part holds about as many as any other.
    const double bounded =
        query.bounding_parts > 0
            ? wanted * shards / static_cast<double>(query.bounding_parts)
            : wanted;
    const double direct =
        shards * (query.request_bytes + call_overhead + query.part_bytes);
    const double delegated = query.request_bytes + subquery_overhead +
                             shards * shard_overhead +
                             std::min(shards * query.part_bytes, bounded);
    return delegated < worthwhile_share * direct;
}

} // namespace basilpath
