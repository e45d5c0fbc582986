#include "standin/leaf_request.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <iterator>
#include <string_view>

namespace basilpath::standin
{

namespace
{

using nlohmann::json;

constexpr double score_steps = 1'000'000.0;

std::uint64_t digest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

// Returns a member of any type as text; empty if absent.
std::string text_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
    {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

// Appends one item, which is a pure function of the other arguments.
void append_item(std::string& text, const leaf_request& request,
                 const leaf_id& leaf, std::uint32_t index, std::uint64_t run)
{
    const std::string id =
        fmt::format("{}-{}-{}-{:x}-{}", request.target.service.value,
                    request.target.version.value, request.target.shard.value,
                    request.query_digest & 0xFFFFFFU, index);
    const double score =
        static_cast<double>(digest(id) % 1'000'000U) / score_steps;
    fmt::format_to(std::back_inserter(text),
                   "{}{{\"id\":\"{}\",\"score\":{:.6f},\"shard\":{},"
                   "\"version\":{},\"leaf\":\"{}\"",
                   index == 0 ? "" : ",", id, score, request.target.shard.value,
                   request.target.version.value, leaf.value);
    if (run > 0)
    {
        fmt::format_to(std::back_inserter(text), ",\"run\":{}", run);
    }
    text += '}';
}

} // namespace

std::optional<leaf_request> read_leaf_request(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
    {
        return std::nullopt;
    }
    try
    {
        leaf_request one;
        one.request = object.at("request").get<std::string>();
        one.attempt = object.at("attempt").get<std::uint32_t>();
        one.target.service.value = object.at("service").get<std::string>();
        one.target.version.value = object.at("version").get<std::uint64_t>();
        one.target.shard.value = object.at("shard").get<std::uint32_t>();
        one.deadline = std::chrono::milliseconds(
            object.at("deadline_ms").get<std::int64_t>());
        one.execute = object.value("execute", false);
        const json& query = object.at("query");
        one.query_digest = digest(query.dump());
        if (query.is_object())
        {
            one.key = text_of(query, "key");
            one.poison = text_of(query, "poison") == "true";
        }
        return one;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::optional<cancel_request> read_cancel_request(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object())
    {
        return std::nullopt;
    }
    try
    {
        return cancel_request{object.at("request").get<std::string>(),
                              object.at("attempt").get<std::uint32_t>()};
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::string make_reply(const leaf_request& request, const leaf_id& leaf,
                       std::uint32_t count, std::uint64_t run)
{
    std::string text = fmt::format(
        "{{\"request\":{},\"attempt\":{},\"service\":{},\"version\":{},"
        "\"shard\":{},\"items\":[",
        json(request.request).dump(), request.attempt,
        json(request.target.service.value).dump(), request.target.version.value,
        request.target.shard.value);
    for (std::uint32_t index = 0; index < count; ++index)
    {
        append_item(text, request, leaf, index, run);
    }
    text += "]}";
    return text;
}

} // namespace basilpath::standin
