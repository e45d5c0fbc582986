#include "load/entry_protocol.hpp"

#include "load/load_plan.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace basilpath::load
{

namespace
{

// A caller waits this long past its deadline, so that late answers are seen.
constexpr milliseconds late_answer_time{500};

// Reads the items of an answer: from which shard and version each comes.
void read_items(const nlohmann::json& items, const std::string& subject,
                caller_answer& answer)
{
    for (const auto& item : items)
    {
        answer.origins.push_back(
            {shard_number(item.at("shard").get<std::uint32_t>()),
             version_number(item.at("version").get<std::uint64_t>())});
        const auto key = item.find("key");
        if (key != item.end() && *key != subject)
        {
            ++answer.foreign_items;
        }
    }
    answer.items = items.size();
    std::ranges::sort(answer.origins);
    const auto same = std::ranges::unique(answer.origins);
    answer.origins.erase(same.begin(), same.end());
}

// Reads the fields of an answer; throws when one is not of its form.
void read_fields(const nlohmann::json& json, const std::string& subject,
                 caller_answer& answer)
{
    answer.request = json.value("request", "");
    answer.reported_coverage = json.value("coverage", 0.0);
    answer.version = version_number(json.value("version", std::uint64_t{0}));
    for (const auto& shard : json.value("missing", nlohmann::json::array()))
    {
        answer.missing.emplace_back(shard.get<std::uint32_t>());
    }
    read_items(json.value("items", nlohmann::json::array()), subject, answer);
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
                           {"query", {{"key", details.subject}}}};
    if (mix.poison)
    {
        body["query"]["poison"] = true;
    }
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

caller_answer read_entry_reply(const http_reply& reply,
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
        read_fields(json, subject, answer);
    }
    catch (const nlohmann::json::exception&)
    {
        answer.code.reset();
    }
    return answer;
}

} // namespace basilpath::load
