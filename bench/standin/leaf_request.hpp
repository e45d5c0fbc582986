/// The body of POST /v1/leaf and what is answered to it.
#pragma once

#include "standin/index_holdings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// One request as docs/target-protocol.md defines it.
struct leaf_request
{
    std::string request;
    std::uint32_t attempt = 0;
    held_shard target;
    std::chrono::milliseconds deadline{0};
    bool execute = false;

    /// Digest of the query's JSON text.
    std::uint64_t query_digest = 0;

    /// Member `key` of the query; empty when it has none.
    std::string key;

    /// Whether the query has a true member `poison`.
    bool poison = false;
};

/// Reads a request; nothing when the body is not of the documented form.
[[nodiscard]] std::optional<leaf_request>
read_leaf_request(const std::string& body);

/// What POST /v1/cancel names.
struct cancel_request
{
    std::string request;
    std::uint32_t attempt = 0;
};

/// Reads a cancellation; nothing when the body is not of the documented form.
[[nodiscard]] std::optional<cancel_request>
read_cancel_request(const std::string& body);

/// The body of a 200 reply with `count` items. Each item names the shard, the
/// version and the leaf that it comes from; `run` is how often the key of a
/// request to execute has been run, 0 for other requests.
[[nodiscard]] std::string make_reply(const leaf_request& request,
                                     const leaf_id& leaf, std::uint32_t count,
                                     std::uint64_t run);

} // namespace basilpath::standin
