#include "request/leaf_call.hpp"

#include "connection/http_client.hpp"
#include "request/leaf_reply.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

using json = nlohmann::json;

// Quotes a text as JSON; bytes that are not UTF-8 are replaced.
std::string quoted(const std::string& text)
{
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

// Tells whether a reply names the call it answers.
bool echoes(const leaf_reply& reply, const leaf_call& call)
{
    return reply.request == call.request.value &&
           reply.attempt == call.attempt.value &&
           reply.service == call.service.value &&
           reply.version == call.version.value &&
           reply.shard == call.shard.value;
}

// Judges a body that came with status 200.
leaf_answer judge_body(const leaf_call& call, const std::string& text)
{
    std::optional<leaf_reply> reply = read_leaf_reply(text);
    if (!reply)
    {
        return {leaf_verdict::bad_reply, ""};
    }
    if (!echoes(*reply, call))
    {
        return {leaf_verdict::crossed, ""};
    }
    return {leaf_verdict::served, std::move(reply->items)};
}

} // namespace

const char* to_string(leaf_verdict verdict)
{
    switch (verdict)
    {
    case leaf_verdict::served:
        return "served";
    case leaf_verdict::wrong_version:
        return "wrong_version";
    case leaf_verdict::busy:
        return "busy";
    case leaf_verdict::cancelled:
        return "cancelled";
    case leaf_verdict::draining:
        return "draining";
    case leaf_verdict::expired:
        return "expired";
    case leaf_verdict::crossed:
        return "crossed";
    case leaf_verdict::bad_reply:
        return "bad_reply";
    case leaf_verdict::not_reached:
        return "not_reached";
    case leaf_verdict::timed_out:
        return "timed_out";
    case leaf_verdict::dropped:
        return "dropped";
    }
    return "unknown";
}

bool certainly_not_run(leaf_verdict verdict)
{
    return verdict == leaf_verdict::wrong_version ||
           verdict == leaf_verdict::busy || verdict == leaf_verdict::draining ||
           verdict == leaf_verdict::expired ||
           verdict == leaf_verdict::not_reached;
}

std::string leaf_call_body(const leaf_call& call)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.budget);
    return fmt::format(
        R"({{"request":{},"attempt":{},"service":{},"version":{},"shard":{},)"
        R"("deadline_ms":{},"execute":{},"query":{}}})",
        quoted(call.request.value), call.attempt.value,
        quoted(call.service.value), call.version.value, call.shard.value,
        std::max<std::int64_t>(1, left.count()), call.execute,
        call.query.empty() ? "null" : call.query);
}

std::string leaf_cancel_body(const leaf_call& call)
{
    return fmt::format(R"({{"request":{},"attempt":{}}})",
                       quoted(call.request.value), call.attempt.value);
}

leaf_answer judge_reply(const leaf_call& call, const http_reply& reply)
{
    switch (reply.outcome)
    {
    case http_outcome::connect_failed:
        return {leaf_verdict::not_reached, ""};
    case http_outcome::timed_out:
        return {leaf_verdict::timed_out, ""};
    case http_outcome::dropped:
        return {leaf_verdict::dropped, ""};
    case http_outcome::answered:
        break;
    }
    switch (reply.status)
    {
    case 200:
        return judge_body(call, reply.body);
    case 409:
        return {leaf_verdict::wrong_version, ""};
    case 429:
        return {leaf_verdict::busy, ""};
    case 499:
        return {leaf_verdict::cancelled, ""};
    case 503:
        return {leaf_verdict::draining, ""};
    case 504:
        return {leaf_verdict::expired, ""};
    default:
        return {leaf_verdict::bad_reply, ""};
    }
}

} // namespace basilpath
