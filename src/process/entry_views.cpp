#include "process/entry_views.hpp"

#include "connection/http_exchange.hpp"
#include "process/directory.hpp"
#include "process/home.ipp"
#include "process/host_status.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr int status_good = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::string_view explain_path = "/v1/explain/";

// Makes an answer from JSON text.
http_answer json_answer(int status, std::string body)
{
    return {status, std::move(body), "application/json", {}};
}

// Names the hosts that the caller should use, with a home token.
http_answer show_directory(const entry_parts& parts,
                           const http_exchange& exchange)
{
    directory answer = choose_directory(
        *parts.shared.state(), parse_directory_query(exchange.query),
        parts.loads, [&parts] { return parts.shared.clockwork.random(); });
    if (!parts.draining)
    {
        answer.tokens.push_back(parts.own_home.issue_token());
    }
    return json_answer(status_good, to_json_text(answer));
}

// Tells what happened to one request.
http_answer show_explanation(const entry_parts& parts,
                             const http_exchange& exchange)
{
    const std::string id = exchange.path.substr(explain_path.size());
    const auto trace = parts.shared.traces.find(id);
    if (!trace)
    {
        return json_answer(status_not_found, R"({"events":[]})");
    }
    json events = json::array();
    for (const trace_event& event : trace->events)
    {
        events.push_back({{"at_us", event.at.count()}, {"text", event.text}});
    }
    const json answer = {{"request", trace->id.value},
                         {"caller_request", trace->caller_id},
                         {"events", std::move(events)}};
    return json_answer(
        status_good,
        answer.dump(-1, ' ', false, json::error_handler_t::replace));
}

// Tells what is in force here and how much of it is in use.
http_answer show_status(const entry_parts& parts, const http_exchange&)
{
    host_status status;
    status.host = parts.shared.own_host.value;
    status.uptime = parts.uptime;
    status.document_age = parts.document_age;
    status.draining = parts.draining;
    status.in_flight = parts.in_flight;
    fill_from_state(status, *parts.shared.state());
    status.figures["load"] = parts.shared.used();
    status.figures["outcomes_kept"] =
        static_cast<double>(parts.own_home.remembered());
    for (const auto& [name, gate] : parts.shared.gates)
    {
        status.figures["admission_limit " + name.value] =
            static_cast<double>(gate->limit_now());
        status.figures["admitted " + name.value] =
            static_cast<double>(gate->admitted_now());
    }
    return json_answer(status_good, to_json(status).dump());
}

http_answer show_burn(const entry_parts& parts, const http_exchange&)
{
    const auto now = std::chrono::duration_cast<microseconds>(
        real_runtime::clock::now().time_since_epoch());
    return json_answer(status_good, parts.burn.to_json(now));
}

http_answer show_metrics(const entry_parts& parts, const http_exchange&)
{
    return {status_good,
            parts.metrics.expose(parts.shared, parts.own_home),
            std::string(metrics_registry::content_type),
            {}};
}

http_answer show_health(const entry_parts&, const http_exchange&)
{
    return json_answer(status_good, R"({"healthy":true})");
}

// Tells whether callers should be sent here.
http_answer show_readiness(const entry_parts& parts, const http_exchange&)
{
    const auto state = parts.shared.state();
    const bool ready = state->configuration && state->hosts && !parts.draining;
    return ready ? json_answer(status_good, R"({"ready":true})")
                 : json_answer(status_unavailable, R"({"ready":false})");
}

/// A path and the function that shows it.
struct known_view
{
    std::string_view path;
    http_answer (*show)(const entry_parts&, const http_exchange&) = nullptr;
};

constexpr auto views = std::to_array<known_view>({
    {"/v1/directory", show_directory},
    {"/v1/status", show_status},
    {"/v1/burn", show_burn},
    {"/metrics", show_metrics},
    {"/healthz", show_health},
    {"/readyz", show_readiness},
});

// Returns the function that shows a path; null when there is none.
auto find_view(std::string_view path)
{
    if (path.starts_with(explain_path))
    {
        return show_explanation;
    }
    const auto found = std::ranges::find(views, path, &known_view::path);
    return found == views.end() ? nullptr : found->show;
}

} // namespace

http_answer plain_answer(result_code code, std::string reason)
{
    query_answer answer;
    answer.code = code;
    answer.reason = std::move(reason);
    return json_answer(info(code).http_status, to_json_text(answer));
}

http_answer show_view(const entry_parts& parts, const http_exchange& exchange)
{
    const auto show = find_view(exchange.path);
    if (show == nullptr)
    {
        return plain_answer(result_code::unknown_path,
                            "no path " + exchange.path);
    }
    if (exchange.method != "GET")
    {
        return plain_answer(result_code::method_not_allowed,
                            exchange.path + " only accepts GET");
    }
    return show(parts, exchange);
}

} // namespace basilpath
