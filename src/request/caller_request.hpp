/// A caller's request, checked against the configuration in force.
#pragma once

#include "request/request_error.hpp"
#include "version/ids.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

struct document;
struct service;
struct request_class;

/// Whether a request may be run more than once.
enum class request_kind : std::uint8_t
{
    query,  ///< idempotent
    execute ///< not idempotent: needs a home token and an idempotency key
};

/// One request as the caller sent it, with defaults filled in.
struct caller_request
{
    request_kind kind = request_kind::query;

    /// Name chosen by the caller, echoed in the answer; may be empty.
    std::string caller_id;

    service_name service;
    class_name request_class;
    microseconds budget{0};
    coverage least_coverage;

    /// JSON text of the member `query`.
    std::string query;

    /// Chooses the shard of a lookup service; member `key` of the query.
    std::string lookup_key;

    /// Idempotency key and home token of a request to execute.
    std::string key;
    std::string token;

    fingerprint print;
};

/// A request or what is wrong with it.
struct parsed_request
{
    std::optional<caller_request> value;
    request_error error;
};

/// Longest caller id, key and token, in bytes.
inline constexpr std::size_t caller_text_limit = 256;

/// Parses and checks the body of a caller's request. Never throws.
[[nodiscard]] parsed_request parse_caller_request(std::string_view body,
                                                  request_kind kind,
                                                  const document& in_force);

/// Hash of a service and a query's JSON text.
[[nodiscard]] fingerprint fingerprint_of(const service_name& service,
                                         std::string_view query);

} // namespace basilpath
