/// Forms one answer from the items of the shards, and its true coverage.
#pragma once

#include "request/query_answer.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

struct index_version;
struct service;

/// What became of one shard's reply.
enum class merge_outcome : std::uint8_t
{
    merged,
    duplicate,     ///< the shard is in the answer already
    wrong_version, ///< the reply is of another index version
    unknown_shard, ///< the query did not ask for the shard
    malformed      ///< the items are not a JSON array of objects
};

/// Gathers the replies of one query on one index version. A reply of another
/// version is never merged.
class answer_merger
{
public:
    /// `wanted` are the shards that the query asks: all, or one for a lookup.
    answer_merger(const service& rules,
                  std::shared_ptr<const index_version> pinned,
                  std::vector<shard_number> wanted);
    ~answer_merger();

    /// Adds the items of a shard, JSON text of an array.
    merge_outcome add(shard_number number, version_number version,
                      std::string_view items);

    /// Tells whether every wanted shard is in the answer.
    [[nodiscard]] bool complete() const;

    /// Wanted shards that are not in the answer, in ascending order.
    [[nodiscard]] std::vector<shard_number> missing() const;

    /// Weight of the merged shards over the weight of the wanted ones.
    [[nodiscard]] coverage covered() const;

    /// Writes items, coverage, version and missing shards into an answer.
    void write(query_answer& answer) const;

private:
    struct merged_items;

    std::shared_ptr<const index_version> pinned;
    std::vector<shard_number> wanted;
    std::unique_ptr<merged_items> items;
};

} // namespace basilpath
