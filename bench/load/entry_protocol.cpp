#include "load/entry_protocol.hpp"

#include "load/load_plan.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <ranges>

namespace basilpath::load
{

namespace
{

// Time that a caller waits past its deadline, so that late answers are
// recorded.
constexpr milliseconds late_answer_time{500};

// Builds the query of a request; equal subjects give equal queries.
nlohmann::json make_query(const traffic_mix& mix, const std::string& subject)
{
    nlohmann::json query = {{"key", subject}};
    if (mix.poison)
    {
        query["poison"] = true;
    }
    return query;
}

// Returns the prefix of the names of the items that the stand-in's leaves
// return for a query.
std::string item_name(const traffic_mix& mix, const item_origin& origin,
                      std::uint64_t query_digest)
{
    constexpr std::uint64_t digest_mask = 0xFFFFFF;
    return fmt::format("{}-{}-{}-{:x}-", mix.service.value,
                       origin.version.value, origin.shard.value,
                       query_digest & digest_mask);
}

// Reads the items of an answer with the shard and version of each.
void read_items(const nlohmann::json& items, const traffic_mix& mix,
                const std::string& subject, caller_answer& answer)
{
    const std::string query = make_query(mix, subject).dump();
    const std::uint64_t digest = XXH3_64bits(query.data(), query.size());
    for (const auto& item : items)
    {
        const item_origin origin{
            shard_number(item.at("shard").get<std::uint32_t>()),
            version_number(item.at("version").get<std::uint64_t>())};
        answer.origins.push_back(origin);
        const auto& name = item.at("id").get_ref<const std::string&>();
        if (!name.starts_with(item_name(mix, origin, digest)))
        {
            ++answer.foreign_items;
        }
    }
    answer.items = items.size();
    std::ranges::sort(answer.origins);
    const auto same = std::ranges::unique(answer.origins);
    answer.origins.erase(same.begin(), same.end());
}

// Reads the fields of an answer; throws if one is malformed.
void read_fields(const nlohmann::json& json, const traffic_mix& mix,
                 const std::string& subject, caller_answer& answer)
{
    answer.request = json.value("request", "");
    answer.reported_coverage = json.value("coverage", 0.0);
    answer.version = version_number(json.value("version", std::uint64_t{0}));
    for (const auto& shard : json.value("missing", nlohmann::json::array()))
    {
        answer.missing.emplace_back(shard.get<std::uint32_t>());
    }
    read_items(json.value("items", nlohmann::json::array()), mix, subject,
               answer);
    answer.code = json.at("code").get<std::uint32_t>();
}

} // namespace

http_request make_entry_request(const std::string& host, const traffic_mix& mix,
                                const request_details& details)
{
    nlohmann::json body = {{"service", mix.service.value},
                           {"class", mix.request_class.value},
                           {"deadline_ms", details.deadline.count()},
                           {"request", details.request},
                           {"query", make_query(mix, details.subject)}};
    if (mix.execute)
    {
        body["key"] = details.subject;
        body["token"] = details.token;
    }
    else
    {
        body["least_coverage"] = mix.least_coverage;
    }
    http_request request;
    request.url =
        "http://" + host + (mix.execute ? "/v1/execute" : "/v1/query");
    request.body = body.dump();
    request.timeout = details.deadline + late_answer_time;
    request.fresh_connection = mix.execute;
    return request;
}

caller_answer read_entry_reply(const http_reply& reply, const traffic_mix& mix,
                               const std::string& subject)
{
    caller_answer answer;
    answer.transport = reply.outcome;
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.outcome != http_outcome::answered || !json.is_object())
    {
        return answer;
    }
    try
    {
        read_fields(json, mix, subject, answer);
    }
    catch (const nlohmann::json::exception&)
    {
        answer.code.reset();
    }
    return answer;
}

} // namespace basilpath::load
