#include "process/agent_status.hpp"

#include "process/gossip_state.hpp"
#include "version/host_list.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpath
{

wire::State describe_state(const gossip_state& state,
                           soft_state::time_point now)
{
    wire::State message;
    for (const auto& [name, value] : state.values.all())
    {
        wire::ValueDigest& one = *message.add_values();
        one.set_name(name);
        one.set_number(value->number);
        one.set_digest(value->digest);
        if (name == "document")
        {
            message.set_document(value->bytes);
        }
        else if (name == "targets")
        {
            message.set_targets(value->bytes);
        }
        else if (name == "hosts")
        {
            message.set_hosts(value->bytes);
        }
    }
    for (const host_id& id : state.members.dead())
    {
        message.add_dead_hosts(id.value);
    }
    state.soft.describe(message, now);
    return message;
}

std::string describe_status(const gossip_state& state, std::size_t neighbours,
                            std::size_t subscribers,
                            std::uint64_t platform_calls)
{
    nlohmann::json values = nlohmann::json::object();
    for (const auto& [name, value] : state.values.all())
    {
        values[name] = {{"number", value->number},
                        {"digest", fmt::format("{:016x}", value->digest)},
                        {"bytes", value->bytes.size()},
                        {"sections", value->sections.size()}};
    }
    nlohmann::json dead = nlohmann::json::array();
    for (const host_id& id : state.members.dead())
    {
        dead.push_back(id.value);
    }
    const auto hosts = state.ring.hosts();
    const gossip_counters& counters = state.counters;
    return nlohmann::json{
        {"host", state.members.own().value},
        {"ready", state.ready},
        {"watcher", state.is_watcher()},
        {"values", values},
        {"hosts", hosts ? hosts->hosts.size() : 0},
        {"dead_hosts", dead},
        {"neighbours", neighbours},
        {"subscribers", subscribers},
        {"platform_calls", platform_calls},
        {"digests_sent", counters.digests_sent},
        {"digests_received", counters.digests_received},
        {"section_bytes_received", counters.section_bytes_received},
        {"values_accepted", counters.values_accepted},
        {"values_lower", counters.values_lower},
        {"values_refused", counters.values_refused},
        {"declared_dead", counters.declared_dead},
        {"own_pauses", counters.own_pauses}}
        .dump();
}

} // namespace basilpath
