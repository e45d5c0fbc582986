#include "request/caller_request.hpp"

#include "version/document.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr int nesting_limit = 32;

/// Collects the first fault while the members are read one after another.
struct request_reader
{
    const json& members;
    std::optional<request_error> error;

    // Notes a fault unless one was noted before.
    void fail(result_code code, std::string reason)
    {
        if (!this->error)
        {
            this->error = request_error{code, std::move(reason)};
        }
    }

    // Returns the text of a member; empty when it is absent.
    std::string text(const char* name)
    {
        const auto found = this->members.find(name);
        if (found == this->members.end())
        {
            return "";
        }
        if (!found->is_string())
        {
            this->fail(result_code::malformed_request,
                       fmt::format("{} must be a text", name));
            return "";
        }
        auto value = found->get<std::string>();
        if (value.size() > caller_text_limit)
        {
            this->fail(result_code::malformed_request,
                       fmt::format("{} is longer than {} bytes", name,
                                   caller_text_limit));
        }
        return value;
    }

    // Returns the number of a member, or nothing when it is absent.
    std::optional<double> number(const char* name, result_code code)
    {
        const auto found = this->members.find(name);
        if (found == this->members.end())
        {
            return std::nullopt;
        }
        if (!found->is_number() || !std::isfinite(found->get<double>()))
        {
            this->fail(code, fmt::format("{} must be a number", name));
            return std::nullopt;
        }
        return found->get<double>();
    }
};

// Refuses members that the interface does not know.
void check_names(request_reader& reader)
{
    constexpr std::array<std::string_view, 8> known = {
        "request", "service",        "class", "deadline_ms",
        "query",   "least_coverage", "key",   "token"};
    for (const auto& [name, value] : reader.members.items())
    {
        if (std::ranges::find(known, name) == known.end())
        {
            reader.fail(result_code::malformed_request,
                        fmt::format("unknown member {:?}", name));
        }
    }
}

// Reads service and class and checks that they belong together.
const request_class* read_class(request_reader& reader, caller_request& request,
                                const document& in_force)
{
    request.service = service_name(reader.text("service"));
    request.request_class = class_name(reader.text("class"));
    if (in_force.find_service(request.service) == nullptr)
    {
        reader.fail(result_code::unknown_service,
                    fmt::format("service {:?} is not configured",
                                request.service.value));
        return nullptr;
    }
    const auto* const found = in_force.find_class(request.request_class);
    if (found == nullptr || found->service != request.service)
    {
        reader.fail(result_code::unknown_class,
                    fmt::format("class {:?} is not a class of service {:?}",
                                request.request_class.value,
                                request.service.value));
        return nullptr;
    }
    return found;
}

// Reads the deadline and the least coverage; the class gives the defaults.
void read_limits(request_reader& reader, caller_request& request,
                 const request_class& defaults)
{
    const double most = static_cast<double>(defaults.deadline.count());
    const double deadline_ms =
        reader.number("deadline_ms", result_code::bad_deadline).value_or(most);
    if (deadline_ms < 1.0 || deadline_ms > most)
    {
        reader.fail(result_code::bad_deadline,
                    fmt::format("deadline_ms must be from 1 to {}", most));
        return;
    }
    request.budget =
        microseconds(static_cast<std::int64_t>(deadline_ms * 1000.0));
    const double least =
        reader.number("least_coverage", result_code::bad_coverage)
            .value_or(defaults.least_coverage.value);
    if (least < 0.0 || least > 1.0)
    {
        reader.fail(result_code::bad_coverage,
                    "least_coverage must be from 0 to 1");
    }
    request.least_coverage = coverage(least);
}

// Reads the query and, for a lookup service, the key that chooses the shard.
void read_query(request_reader& reader, caller_request& request,
                const document& in_force)
{
    const auto query = reader.members.find("query");
    if (query == reader.members.end() || !query->is_object())
    {
        reader.fail(result_code::malformed_request, "query must be an object");
        return;
    }
    request.query = query->dump(-1, ' ', false, json::error_handler_t::replace);
    const service* const wanted = in_force.find_service(request.service);
    const auto key = query->find("key");
    if (wanted != nullptr && wanted->kind == service_kind::lookup)
    {
        if (key == query->end() || !key->is_string())
        {
            reader.fail(result_code::malformed_request,
                        "query.key must be a text for a lookup service");
            return;
        }
        request.lookup_key = key->get<std::string>();
    }
}

// Reads what only a request to execute carries.
void read_execute(request_reader& reader, caller_request& request,
                  const document& in_force)
{
    const service* const wanted = in_force.find_service(request.service);
    if (wanted != nullptr && !wanted->accepts_execute)
    {
        reader.fail(result_code::not_executable,
                    fmt::format("service {:?} does not accept requests to "
                                "execute",
                                request.service.value));
    }
    request.key = reader.text("key");
    request.token = reader.text("token");
    if (request.token.empty())
    {
        reader.fail(result_code::token_missing,
                    "token must be a home token of GET /v1/directory");
    }
    if (request.key.empty())
    {
        reader.fail(result_code::key_missing,
                    "key must be the caller's idempotency key");
    }
}

// Parses JSON that is not nested too deeply; discarded otherwise.
json parse_bounded(std::string_view body)
{
    const auto shallow = [](int depth, json::parse_event_t, json&)
    {
        return depth <= nesting_limit;
    };
    return json::parse(body, shallow, false);
}

} // namespace

fingerprint fingerprint_of(const service_name& service, std::string_view query)
{
    const auto seed = XXH3_64bits(service.value.data(), service.value.size());
    return fingerprint(XXH3_64bits_withSeed(query.data(), query.size(), seed));
}

parsed_request parse_caller_request(std::string_view body, request_kind kind,
                                    const document& in_force)
{
    const json members = parse_bounded(body);
    if (!members.is_object())
    {
        return {std::nullopt,
                {result_code::malformed_request, "the body is not a JSON "
                                                 "object"}};
    }
    caller_request request;
    request.kind = kind;
    request_reader reader{members, std::nullopt};
    check_names(reader);
    request.caller_id = reader.text("request");
    const request_class* const defaults = read_class(reader, request, in_force);
    if (defaults != nullptr)
    {
        read_limits(reader, request, *defaults);
    }
    read_query(reader, request, in_force);
    if (kind == request_kind::execute)
    {
        read_execute(reader, request, in_force);
    }
    if (reader.error)
    {
        return {std::nullopt, *reader.error};
    }
    request.print = fingerprint_of(request.service, request.query);
    return {std::move(request), {}};
}

} // namespace basilpath
