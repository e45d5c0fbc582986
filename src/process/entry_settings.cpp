#include "process/entry_settings.hpp"

#include "process/log.hpp"
#include "process/settings.hpp"

namespace basilpath
{

std::optional<entry_settings> read_entry_settings(const std::string& file)
{
    entry_settings settings;
    settings_reader reader;
    reader.text("host.id", &settings.host);
    reader.text("host.region", &settings.region);
    reader.text("host.domain", &settings.domain);
    reader.address("http.listen", &settings.callers_listen, true);
    reader.integer("http.body_limit_bytes", 1'024, 1'048'576,
                   &settings.body_limit_bytes);
    reader.address("peer.listen", &settings.peer_listen, true);
    reader.address("agent.address", &settings.agent_address);
    reader.integer("drain.time_ms", 0, 600'000, &settings.drain_ms);
    reader.integer("home.outcome_limit", 1, 10'000'000,
                   &settings.outcome_limit);
    reader.number("burn.scale", 0.0001, 1.0, &settings.burn_scale);
    reader.choice("log.level", {"debug", "info", "warning", "error"},
                  &settings.log_level);
    for (const char* const name :
         {"host.id", "host.region", "host.domain", "http.listen", "peer.listen",
          "agent.address"})
    {
        reader.require(name);
    }
    const auto faults = reader.read(file);
    for (const std::string& fault : faults)
    {
        log_event(log_level::error, "settings_fault", {{"fault", fault}});
    }
    if (!faults.empty())
    {
        return std::nullopt;
    }
    set_log_level(*to_log_level(settings.log_level));
    return settings;
}

} // namespace basilpath
