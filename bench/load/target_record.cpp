#include "load/target_record.hpp"

#include <nlohmann/json.hpp>

namespace basilpath::load
{

namespace
{

using nlohmann::json;

leaf_observation read_leaf(const json& leaf)
{
    leaf_observation seen;
    seen.received = leaf.at("received").get<std::uint64_t>();
    seen.crashes = leaf.at("crashes").get<std::uint64_t>();
    seen.peak_connections = leaf.at("connections_peak").get<std::uint64_t>();
    seen.connection_limit = leaf.at("connection_limit").get<std::uint64_t>();
    const json& after = leaf.at("last_request_after_leaving_ms");
    if (after.is_number())
    {
        seen.after_leaving_ms = after.get<double>();
    }
    return seen;
}

key_observation read_key(const json& key, microseconds start)
{
    key_observation seen;
    seen.runs = key.at("count").get<std::uint64_t>();
    const auto first = key.find("first_start_us");
    if (first != key.end() && first->is_number())
    {
        seen.first_run = microseconds(first->get<std::int64_t>()) - start;
    }
    return seen;
}

} // namespace

std::optional<target_record> read_target_record(std::string_view body,
                                                microseconds start)
{
    const json record = json::parse(body, nullptr, false);
    target_record read;
    try
    {
        for (const auto& [name, leaf] : record.at("leaves").items())
        {
            read.leaves.emplace(leaf_id(name), read_leaf(leaf));
        }
        for (const json& key : record.at("executions"))
        {
            read.keys.emplace(key.at("key").get<std::string>(),
                              read_key(key, start));
        }
        read.platform_calls =
            record.at("platform").at("calls").get<std::uint64_t>();
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
    return read;
}

} // namespace basilpath::load
