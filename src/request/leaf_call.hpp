/// One call of a leaf: the request as docs/target-protocol.md words it, and
/// the judgment of the reply.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <string>

namespace basilpath
{

struct http_reply;

/// What one attempt asks of one leaf.
struct leaf_call
{
    request_id request;
    attempt_number attempt;
    service_name service;
    version_number version;
    shard_number shard;
    microseconds budget{0};
    bool execute = false;

    /// A JSON value.
    std::string query;
};

/// What a reply means.
enum class leaf_verdict : std::uint8_t
{
    served,
    wrong_version, ///< not run: the leaf does not hold the version
    busy,          ///< not run: the leaf shed the request
    cancelled,     ///< stopped at our wish; it may have run in part
    draining,      ///< not run: the leaf takes no new work
    expired,       ///< not run: the deadline had passed at the leaf
    crossed,       ///< the reply to another request
    bad_reply,     ///< not of the documented form
    not_reached,   ///< not run: no connection
    timed_out,     ///< no reply in time
    dropped        ///< the connection ended before a whole reply
};

/// The name of a verdict, as logs show it.
[[nodiscard]] const char* to_string(leaf_verdict verdict);

/// Tells whether it is certain that the leaf ran nothing.
[[nodiscard]] bool certainly_not_run(leaf_verdict verdict);

/// A judged reply.
struct leaf_answer
{
    leaf_verdict verdict = leaf_verdict::not_reached;

    /// JSON array, when served.
    std::string items;
};

/// The body of `POST /v1/leaf`.
[[nodiscard]] std::string leaf_call_body(const leaf_call& call);

/// The body of `POST /v1/cancel`.
[[nodiscard]] std::string leaf_cancel_body(const leaf_call& call);

/// Judges a reply and checks that it echoes the call.
[[nodiscard]] leaf_answer judge_reply(const leaf_call& call,
                                      const http_reply& reply);

} // namespace basilpath
