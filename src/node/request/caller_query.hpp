/// A caller's decoded request, and the reply to it.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

class memory_charge;

/// A header that is passed on unchanged.
struct message_header
{
    std::string name;
    std::string value;

    bool operator==(const message_header&) const = default;
};

/// A caller's request; passed on to targets unchanged.
struct caller_query
{
    std::string method;

    /// Host name without port.
    std::string host;

    /// Path with the query string, as sent.
    std::string target;

    /// End-to-end headers, without the hop-by-hop ones.
    std::vector<message_header> headers;

    std::string body;

    /// Set by the caller, a new one for each attempt.
    request_id id;

    /// How much longer the caller waits, counted from the arrival; nothing when
    /// the request does not state it.
    std::optional<milliseconds> caller_timeout;

    instant arrived{};
};

/// Approximate size in bytes of the request when it is passed on.
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

/// The reply to a caller.
struct caller_reply
{
    unsigned status = 502;
    std::vector<message_header> headers;
    std::string body;

    /// How long a refused caller should wait before it retries.
    std::optional<milliseconds> retry_after;

    /// Signatures of the parts of an answer over shards.
    std::vector<std::string> part_signatures;

    /// Number of missing shards in an answer over shards.
    std::optional<std::size_t> missing_parts;

    /// The bytes of the body against the host's bound; may be null.
    std::shared_ptr<const memory_charge> memory = nullptr;
};

} // namespace basilpath
