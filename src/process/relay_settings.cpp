#include "process/relay_settings.hpp"

#include "process/log.hpp"
#include "process/settings.hpp"

namespace basilpath
{

namespace
{

constexpr std::int64_t gather_most_us = 50'000;

} // namespace

bool read_relay_settings(const std::string& file, relay_settings& settings)
{
    std::string hedge = "on";
    std::string put_aside = "on";
    std::int64_t gather_us = settings.policy.gather_time.count();
    settings_reader reader;
    reader.text("host.id", &settings.host);
    reader.text("host.region", &settings.region);
    reader.text("host.domain", &settings.domain);
    reader.address("peer.listen", &settings.peer_listen, true);
    reader.address("agent.address", &settings.agent);
    reader.address("http.listen", &settings.http_listen, true);
    reader.choice("log.level", {"debug", "info", "warning", "error"},
                  &settings.log_level);
    reader.choice("policy.hedge", {"on", "off"}, &hedge);
    reader.choice("policy.put_aside", {"on", "off"}, &put_aside);
    reader.integer("policy.gather_us", 0, gather_most_us, &gather_us);
    for (const char* name : {"host.id", "host.region", "host.domain",
                             "peer.listen", "agent.address"})
    {
        reader.require(name);
    }
    const auto faults = reader.read(file);
    for (const std::string& fault : faults)
    {
        log_event(log_level::error, "settings_fault", {{"reason", fault}});
    }
    settings.policy.hedge = hedge == "on";
    settings.policy.put_aside = put_aside == "on";
    settings.policy.gather_time = microseconds(gather_us);
    return faults.empty();
}

} // namespace basilpath
