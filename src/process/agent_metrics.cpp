#include "process/agent_metrics.hpp"

#include "process/process_usage.hpp"

#include <array>
#include <string_view>

namespace basilpath
{

namespace
{

/// A counter that is kept elsewhere, under the name it is exposed by.
struct kept_counter
{
    std::string_view name;
    std::string_view help;
    std::uint64_t value = 0;
};

/// A gauge under the name it is exposed by.
struct named_gauge
{
    std::string_view name;
    std::string_view help;
    double value = 0.0;
};

} // namespace

std::string agent_metrics::expose(const gossip_state& state,
                                  const peer_traffic& traffic,
                                  const agent_figures& figures)
{
    this->follow_counters(state, traffic, figures);
    this->set_gauges(state, figures);
    return this->registry.expose();
}

// Brings the exposed counters up to those that are kept elsewhere.
void agent_metrics::follow_counters(const gossip_state& state,
                                    const peer_traffic& traffic,
                                    const agent_figures& figures)
{
    const gossip_counters& counters = state.counters;
    const auto kept = std::to_array<kept_counter>({
        {"basilpath_platform_calls_total",
         "Calls to the platform; a watch counts as one.",
         figures.platform_calls},
        {"basilpath_digests_sent_total", "Digests sent to other agents.",
         counters.digests_sent},
        {"basilpath_digests_received_total",
         "Digests received from other agents.", counters.digests_received},
        {"basilpath_section_bytes_received_total",
         "Bytes of values that came from other agents.",
         counters.section_bytes_received},
        {"basilpath_values_accepted_total", "Values that came into force.",
         counters.values_accepted},
        {"basilpath_values_lower_total",
         "Values ignored because a higher number is in force.",
         counters.values_lower},
        {"basilpath_values_refused_total",
         "Values refused as faulty or in conflict with the one in force.",
         counters.values_refused},
        {"basilpath_hosts_declared_dead_total",
         "Hosts declared dead by this agent.", counters.declared_dead},
        {"basilpath_own_pauses_total",
         "Waits that ended late because this process was paused.",
         counters.own_pauses},
        {"basilpath_peer_messages_sent_total",
         "Transport messages sent to other processes.", traffic.messages_sent},
        {"basilpath_peer_messages_received_total",
         "Transport messages received from other processes.",
         traffic.messages_received},
        {"basilpath_peer_bytes_sent_total", "Bytes of transport messages sent.",
         traffic.bytes_sent},
        {"basilpath_peer_bytes_received_total",
         "Bytes of transport messages received.", traffic.bytes_received},
        {"basilpath_peer_messages_dropped_total",
         "Messages to other processes given up before they were sent.",
         traffic.dropped},
    });
    for (const kept_counter& one : kept)
    {
        counter& exposed = this->registry.add_counter(one.name, one.help);
        exposed.add(one.value - exposed.value());
    }
}

void agent_metrics::set_gauges(const gossip_state& state,
                               const agent_figures& figures)
{
    const process_usage used = read_process_usage();
    const auto gauges = std::to_array<named_gauge>({
        {"basilpath_neighbours", "Agents that this one talks to.",
         static_cast<double>(figures.neighbours)},
        {"basilpath_subscribers", "Processes of this host that are fed.",
         static_cast<double>(figures.subscribers)},
        {"basilpath_peer_links", "Links to other processes that are open.",
         static_cast<double>(figures.links)},
        {"basilpath_dead_hosts", "Hosts that are held for dead.",
         static_cast<double>(state.members.dead().size())},
        {"basilpath_watching", "1 when this host watches the platform.",
         state.is_watcher() ? 1.0 : 0.0},
        {"basilpath_process_cpu_seconds", "Processor time used by the process.",
         used.cpu_seconds},
        {"basilpath_process_resident_bytes",
         "Most resident memory the process has had.", used.peak_resident_bytes},
    });
    for (const named_gauge& one : gauges)
    {
        this->registry.add_gauge(one.name, one.help).set(one.value);
    }
    for (const auto& [name, value] : state.values.all())
    {
        this->registry
            .add_gauge("basilpath_value_number",
                       "Number of the value in force.", {{"value", name}})
            .set(static_cast<double>(value->number));
    }
}

} // namespace basilpath
