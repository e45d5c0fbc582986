#include "standin/fault_order.hpp"

#include <nlohmann/json.hpp>

namespace basilpath::standin
{

namespace
{

using nlohmann::json;

// Reads what is common to all kinds; throws json::exception on a wrong type.
fault_order read_order(const json& object)
{
    fault_order order;
    for (const auto& id : object.value("leaves", json::array()))
    {
        order.leaves.emplace_back(id.get<std::string>());
    }
    if (object.contains("share"))
    {
        order.share = object.at("share").get<double>();
    }
    order.seed = object.value("seed", std::uint64_t{1});
    order.service.value = object.value("service", std::string());
    return order;
}

// Reads the fault itself; throws json::exception on a wrong type.
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

std::optional<fault_order>
read_fault_order(const std::string& body,
                 std::chrono::steady_clock::time_point now, std::string* reason)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("kind"))
    {
        *reason = "a JSON object with a member kind is wanted";
        return std::nullopt;
    }
    try
    {
        fault_order order = read_order(object);
        const auto name = object.at("kind").get<std::string>();
        if (name == "clear")
        {
            return order;
        }
        const auto kind = to_fault_kind(name);
        if (!kind)
        {
            *reason = "no fault is called " + name;
            return std::nullopt;
        }
        order.what = read_fault(object, *kind, now);
        return order;
    }
    catch (const json::exception& wrong)
    {
        *reason = wrong.what();
        return std::nullopt;
    }
}

} // namespace basilpath::standin
