/// A caller's request, decoded.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// A header that passes through unchanged.
struct message_header
{
    std::string name;
    std::string value;

    bool operator==(const message_header&) const = default;
};

/// What a caller asks; passed on to targets unchanged.
struct caller_query
{
    std::string method;

    /// Host name without port.
    std::string host;

    /// Path with the query string, as sent.
    std::string target;

    /// Headers that do not concern the connection alone.
    std::vector<message_header> headers;

    std::string body;

    /// Named by the caller, anew for each attempt.
    request_id id;

    /// How much longer the caller waits, if it said so.
    std::optional<milliseconds> caller_timeout;

    instant arrived{};
};

/// Bytes that the request takes when it is passed on, nearly.
[[nodiscard]] inline std::size_t wire_size(const caller_query& query)
{
    std::size_t size =
        query.method.size() + query.target.size() + query.body.size();
    for (const message_header& one : query.headers)
    {
        size += one.name.size() + one.value.size();
    }
    return size;
}

/// What the caller gets.
struct caller_reply
{
    unsigned status = 502;
    std::vector<message_header> headers;
    std::string body;

    /// When a refused caller may come back.
    std::optional<milliseconds> retry_after;

    /// Proofs of the parts of an answer over shards.
    std::vector<std::string> part_signatures;

    /// Shards that an answer over shards lacks.
    std::optional<std::size_t> missing_parts;
};

} // namespace basilpath
