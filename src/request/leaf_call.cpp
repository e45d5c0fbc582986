#include "request/leaf_call.hpp"

#include "connection/http_client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

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
bool echoes(const json& body, const leaf_call& call)
{
    return body.value("request", "") == call.request.value &&
           body.value("attempt", 0U) == call.attempt.value &&
           body.value("service", "") == call.service.value &&
           body.value("version", std::uint64_t{0}) == call.version.value &&
           body.value("shard", ~0U) == call.shard.value;
}

// Tells whether the echo has the documented types.
bool well_formed(const json& body)
{
    const auto is_text = [&body](const char* key)
    {
        return body.contains(key) && body[key].is_string();
    };
    const auto is_number = [&body](const char* key)
    {
        return body.contains(key) && body[key].is_number_unsigned();
    };
    return body.is_object() && is_text("request") && is_number("attempt") &&
           is_text("service") && is_number("version") && is_number("shard") &&
           body.contains("items") && body["items"].is_array() &&
           std::ranges::all_of(body["items"], &json::is_object);
}

// Judges a body that came with status 200.
leaf_answer judge_body(const leaf_call& call, const std::string& text)
{
    const json body = json::parse(text, nullptr, false);
    if (body.is_discarded() || !well_formed(body))
    {
        return {leaf_verdict::bad_reply, ""};
    }
    if (!echoes(body, call))
    {
        return {leaf_verdict::crossed, ""};
    }
    return {leaf_verdict::served,
            body["items"].dump(-1, ' ', false, json::error_handler_t::replace)};
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
