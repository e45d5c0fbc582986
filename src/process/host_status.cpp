#include "process/host_status.hpp"

#include "process/system_state.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr int hexadecimal = 16;

// Reads a status; throws when the value is not of the form. What an older
// release may lack has a default.
host_status read_status(const json& value)
{
    host_status status;
    const json& configuration = value.at("configuration");
    status.host = value.at("host").get<std::string>();
    status.uptime = milliseconds(value.at("uptime_ms").get<std::int64_t>());
    status.draining = value.value("draining", false);
    status.in_flight = value.value("in_flight", std::uint64_t{0});
    status.deployment = configuration.value("deployment", "");
    status.document =
        document_number(configuration.at("version").get<std::uint64_t>());
    status.digest = document_digest(std::stoull(
        configuration.at("digest").get<std::string>(), nullptr, hexadecimal));
    status.document_age =
        milliseconds(configuration.value("age_ms", std::int64_t{0}));
    status.targets_revision = value.value("targets_revision", std::uint64_t{0});
    status.hosts_revision = value.value("hosts_revision", std::uint64_t{0});
    const auto list = [&value](const char* name)
    {
        return value.value(name, std::vector<std::string>());
    };
    status.leaving_hosts = list("leaving_hosts");
    status.dead_hosts = list("dead_hosts");
    status.leaving_leaves = list("leaving_leaves");
    status.quarantines = list("quarantines");
    status.figures = value.value("figures", std::map<std::string, double>());
    return status;
}

} // namespace

void fill_from_state(host_status& status, const system_state& state)
{
    if (state.configuration)
    {
        status.deployment = state.configuration->deployment;
        status.document = state.configuration->number;
        status.digest = state.configuration->digest;
    }
    status.targets_revision = state.targets ? state.targets->revision : 0;
    if (state.hosts)
    {
        status.hosts_revision = state.hosts->revision;
        for (const host& one : state.hosts->hosts)
        {
            if (one.leaving)
            {
                status.leaving_hosts.push_back(one.id.value);
            }
        }
    }
    std::ranges::transform(state.dead_hosts,
                           std::back_inserter(status.dead_hosts),
                           &host_id::value);
    std::ranges::transform(state.leaving_leaves,
                           std::back_inserter(status.leaving_leaves),
                           &leaf_id::value);
    for (const auto& [print, end] : state.quarantines)
    {
        status.quarantines.push_back(fmt::format("{:016x}", print.value));
    }
}

json to_json(const host_status& status)
{
    return {{"host", status.host},
            {"uptime_ms", status.uptime.count()},
            {"draining", status.draining},
            {"in_flight", status.in_flight},
            {"configuration",
             {{"deployment", status.deployment},
              {"version", status.document.value},
              {"digest", fmt::format("{:016x}", status.digest.value)},
              {"age_ms", status.document_age.count()}}},
            {"targets_revision", status.targets_revision},
            {"hosts_revision", status.hosts_revision},
            {"leaving_hosts", status.leaving_hosts},
            {"dead_hosts", status.dead_hosts},
            {"leaving_leaves", status.leaving_leaves},
            {"quarantines", status.quarantines},
            {"figures", status.figures}};
}

std::optional<host_status> host_status_from_json(const json& value)
{
    try
    {
        return read_status(value);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

} // namespace basilpath
