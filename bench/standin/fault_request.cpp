#include "standin/fault_request.hpp"

#include <nlohmann/json.hpp>

namespace basilpath::standin
{

namespace
{

using nlohmann::json;

// Reads which leaves are affected; throws json::exception on a wrong type.
fault_request read_leaf_selection(const json& object)
{
    fault_request request;
    for (const auto& id : object.value("leaves", json::array()))
    {
        request.leaves.emplace_back(id.get<std::string>());
    }
    if (object.contains("share"))
    {
        request.share = object.at("share").get<double>();
    }
    request.seed = object.value("seed", std::uint64_t{1});
    request.service.value = object.value("service", std::string());
    return request;
}

// Reads the parameters of the fault; throws json::exception on a wrong type.
fault read_fault(const json& object, fault_kind kind,
                 std::chrono::steady_clock::time_point now)
{
    fault one;
    one.kind = kind;
    one.factor = object.value("factor", one.factor);
    one.chance = object.value("chance", one.chance);
    if (object.contains("for_ms"))
    {
        one.end = now + std::chrono::milliseconds(
                            object.at("for_ms").get<std::int64_t>());
    }
    return one;
}

} // namespace

std::optional<fault_request>
read_fault_request(const std::string& body,
                   std::chrono::steady_clock::time_point now,
                   std::string* reason)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("kind"))
    {
        *reason = "expected a JSON object with a member kind";
        return std::nullopt;
    }
    try
    {
        fault_request request = read_leaf_selection(object);
        const auto name = object.at("kind").get<std::string>();
        if (name == "clear")
        {
            return request;
        }
        const auto kind = to_fault_kind(name);
        if (!kind)
        {
            *reason = "unknown fault kind: " + name;
            return std::nullopt;
        }
        request.new_fault = read_fault(object, *kind, now);
        return request;
    }
    catch (const json::exception& wrong)
    {
        *reason = wrong.what();
        return std::nullopt;
    }
}

} // namespace basilpath::standin
