/// Encoding of callers' requests to basilpath and decoding of its answers.
#pragma once

#include "connection/http_client.hpp"
#include "load/request_outcome.hpp"

#include <string>

namespace basilpath::load
{

struct traffic_mix;

/// Parameters of one request besides those of its mix.
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

/// Builds the request that a caller sends to a host.
[[nodiscard]] http_request make_entry_request(const std::string& host,
                                              const traffic_mix& mix,
                                              const request_details& details);

/// Parses the reply of a host. The answer has no result code if the reply is
/// malformed. Items whose names differ from those that the stand-in's leaves
/// return for this query count as foreign.
[[nodiscard]] caller_answer read_entry_reply(const http_reply& reply,
                                             const traffic_mix& mix,
                                             const std::string& subject);

} // namespace basilpath::load
