/// The answer to a caller's request.
#pragma once

#include "request/result_code.hpp"
#include "version/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// What a caller is told. `items` is JSON text of an array.
struct query_answer
{
    /// The caller's name for the request, or ours when it gave none.
    std::string caller_id;

    /// Our name for the request, for logs and `basilpathctl explain`.
    request_id id;

    result_code code = result_code::complete;
    std::string reason;
    coverage covered;
    version_number version;

    /// Shards of the version, and those that are not in the answer.
    std::uint32_t shard_count = 0;
    std::vector<shard_number> missing;

    std::string items = "[]";

    /// When a refused request should come back.
    std::optional<milliseconds> retry_after;
};

/// The answer as the JSON object that callers get.
[[nodiscard]] std::string to_json_text(const query_answer& answer);

} // namespace basilpath
