#include "standin/control_service.hpp"

#include "process/log.hpp"
#include "standin/fault_request.hpp"
#include "standin/record_report.hpp"
#include "version/document_parser.hpp"
#include "version/target_list.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace basilpath::standin
{

namespace
{

using nlohmann::json;

constexpr std::string_view value_path = "/standin/value/";

http_answer accepted(const json& body)
{
    return {200, body.dump(), "application/json", {}};
}

http_answer refused(const std::string& reason)
{
    return {400, json{{"error", reason}}.dump(), "application/json", {}};
}

} // namespace

control_service::control_service(leaf_group& leaves, platform_service& platform)
    : leaves(leaves), platform(platform)
{
}

void control_service::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->method == "GET" && exchange->path == "/standin/record")
    {
        exchange->reply({200,
                         report_records(this->leaves, this->platform),
                         "application/json",
                         {}});
        return;
    }
    if (exchange->method != "POST")
    {
        exchange->reply({404, "{}", "application/json", {}});
        return;
    }
    log_event(
        log_level::info, "control",
        {{"path", exchange->path}, {"body", exchange->body.substr(0, 200)}});
    exchange->reply(this->post(exchange->path, exchange->body));
}

http_answer control_service::post(const std::string& path,
                                  const std::string& body)
{
    if (path == "/standin/fault")
    {
        return this->post_fault(body);
    }
    if (path == "/standin/leaving")
    {
        return this->post_leaving(body);
    }
    if (path == "/standin/platform")
    {
        return this->post_platform(body);
    }
    if (path == "/standin/reset")
    {
        this->leaves.reset_records();
        this->platform.reset_record();
        return accepted(json::object());
    }
    if (path.starts_with(value_path))
    {
        const std::string name = path.substr(value_path.size());
        const std::string reason = this->set_value(name, body);
        return accepted({{"revision", this->platform.values().revision(name)},
                         {"warning", reason}});
    }
    return {404, "{}", "application/json", {}};
}

http_answer control_service::post_fault(const std::string& body)
{
    std::string reason;
    const auto request =
        read_fault_request(body, std::chrono::steady_clock::now(), &reason);
    if (!request)
    {
        return refused(reason);
    }
    const std::vector<leaf_id> chosen =
        request->share ? this->leaves.choose(*request->share, request->seed,
                                             request->service)
                       : request->leaves;
    json named = json::array();
    for (const leaf_id& id : chosen)
    {
        const auto one = this->leaves.find(id);
        if (!one)
        {
            return refused("unknown leaf: " + id.value);
        }
        request->new_fault ? one->add_fault(*request->new_fault)
                           : one->clear_faults();
        named.push_back(id.value);
    }
    return accepted({{"leaves", named}});
}

// Publishes the named leaves as leaving or as live.
http_answer control_service::post_leaving(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("leaves"))
    {
        return refused("expected a JSON object with a member leaves");
    }
    std::set<leaf_id> leaving = this->leaves.leaving();
    for (const json& name : object.at("leaves"))
    {
        const leaf_id id(name.is_string() ? name.get<std::string>() : "");
        if (!this->leaves.find(id))
        {
            return refused("unknown leaf: " + id.value);
        }
        object.value("leaving", true) ? void(leaving.insert(id))
                                      : void(leaving.erase(id));
    }
    this->leaves.set_leaving(leaving);
    this->publish_targets();
    return accepted(
        {{"revision", this->platform.values().revision("targets")}});
}

http_answer control_service::post_platform(const std::string& body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("mode") ||
        !object.at("mode").is_string())
    {
        return refused("expected a JSON object with a member mode");
    }
    const auto mode = to_platform_mode(object.at("mode").get<std::string>());
    if (!mode)
    {
        return refused("mode must be up, down, stale, garbage or slow");
    }
    this->platform.set_mode(*mode);
    return accepted(json::object());
}

std::string control_service::set_value(const std::string& name,
                                       const std::string& bytes)
{
    std::string reason;
    if (name == "document")
    {
        const parsed_document parsed = parse_document(bytes);
        if (parsed.value)
        {
            this->leaves.assign(*parsed.value);
            this->publish_targets();
        }
        else
        {
            reason = fmt::format("line {}: {}", parsed.faults.front().line,
                                 parsed.faults.front().message);
        }
    }
    else if (name == "targets")
    {
        if (const auto list = parse_target_list(bytes, &reason))
        {
            std::set<leaf_id> leaving;
            for (const auto& [id, entry] : list->entries)
            {
                if (entry.leaving)
                {
                    leaving.insert(id);
                }
            }
            this->leaves.set_leaving(leaving);
        }
    }
    this->platform.set(name, bytes);
    return reason;
}

// Publishes the target list if it differs from the one served.
void control_service::publish_targets()
{
    const std::uint64_t revision = this->platform.values().revision("targets");
    const auto served_value = this->platform.values().served_value("targets");
    if (!served_value ||
        served_value->bytes != this->leaves.target_list_text(revision))
    {
        this->platform.set("targets",
                           this->leaves.target_list_text(revision + 1));
    }
}

} // namespace basilpath::standin
