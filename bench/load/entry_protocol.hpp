/// Requests to basilpath as a caller makes them, and its answers.
#pragma once

#include "connection/http_client.hpp"
#include "load/request_outcome.hpp"

#include <string>

namespace basilpath::load
{

struct traffic_mix;

/// What one request needs besides its mix.
struct request_details
{
    /// Name of the request, which the answer must echo.
    std::string request;

    std::string subject;

    /// Home token of a request to execute.
    std::string token;

    /// Time left to the caller.
    milliseconds deadline{0};
};

/// Forms the request that a caller sends to a host.
[[nodiscard]] http_request make_entry_request(const std::string& host,
                                              const traffic_mix& mix,
                                              const request_details& details);

/// Reads the reply of a host; fields that cannot be read are left out, and
/// without a result code the answer has none.
/// Items are compared with those that the stand-in's leaves give this query.
[[nodiscard]] caller_answer read_entry_reply(const http_reply& reply,
                                             const traffic_mix& mix,
                                             const std::string& subject);

} // namespace basilpath::load
