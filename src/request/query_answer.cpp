#include "request/query_answer.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <ranges>

namespace basilpath
{

namespace
{

// Quotes a text for JSON; bytes that are not UTF-8 are replaced.
std::string quote(const std::string& text)
{
    using nlohmann::json;
    return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

std::string to_json_text(const query_answer& answer)
{
    const result_info& row = info(answer.code);
    const auto missing =
        std::views::transform(answer.missing, &shard_number::value);
    std::string text = fmt::format(
        R"({{"request":{},"id":{},"code":{},"name":"{}","not_run":{})",
        quote(answer.caller_id.empty() ? answer.id.value : answer.caller_id),
        quote(answer.id.value), static_cast<unsigned>(row.code), row.name,
        row.not_run);
    if (!answer.reason.empty())
    {
        text += fmt::format(R"(,"reason":{})", quote(answer.reason));
    }
    if (answer.retry_after)
    {
        text +=
            fmt::format(R"(,"retry_after_ms":{})", answer.retry_after->count());
    }
    text += fmt::format(
        R"(,"coverage":{},"version":{},"shards":{},"missing":[{}],"items":{}}})",
        answer.covered.value, answer.version.value, answer.shard_count,
        fmt::join(missing, ","), answer.items);
    return text;
}

} // namespace basilpath
