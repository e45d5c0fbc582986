/// Request and response bodies of POST /v1/leaf and POST /v1/cancel.
#pragma once

#include "standin/index_holdings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// A request as defined in docs/target-protocol.md.
struct leaf_request
{
    std::string request;
    std::uint32_t attempt = 0;
    held_shard target;
    std::chrono::milliseconds deadline{0};
    bool execute = false;

    /// XXH3 digest of the JSON text of the query.
    std::uint64_t query_digest = 0;

    /// Member `key` of the query; empty if absent.
    std::string key;

    /// Whether member `poison` of the query is true.
    bool poison = false;
};

/// Parses a request; nothing if the body does not have the documented form.
[[nodiscard]] std::optional<leaf_request>
read_leaf_request(const std::string& body);

/// The body of POST /v1/cancel.
struct cancel_request
{
    std::string request;
    std::uint32_t attempt = 0;
};

/// Parses a cancellation; nothing if the body does not have the documented
/// form.
[[nodiscard]] std::optional<cancel_request>
read_cancel_request(const std::string& body);

/// Returns the body of a 200 reply with `count` items. Each item contains its
/// shard, index version and leaf; `run` is the number of starts of the key of a
/// request to execute, 0 for other requests.
[[nodiscard]] std::string make_reply(const leaf_request& request,
                                     const leaf_id& leaf, std::uint32_t count,
                                     std::uint64_t run);

} // namespace basilpath::standin
