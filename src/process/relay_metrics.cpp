#include "process/relay_metrics.hpp"

#include "connection/leaf_table.hpp"
#include "connection/peer_hub.hpp"
#include "process/relay_counts.hpp"

#include <array>

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

// The counters of the sessions and of the links to other processes.
auto kept_counters(const relay_counts& counts, const peer_traffic& traffic)
{
    return std::to_array<kept_counter>({
        {"basilpath_relay_queries_total", "Queries taken from entries.",
         counts.queries},
        {"basilpath_leaf_first_attempts_total", "Shards that were tried.",
         counts.first_attempts},
        {"basilpath_leaf_hedges_total",
         "Attempts sent because a reply was late.", counts.hedges},
        {"basilpath_leaf_retries_total", "Attempts sent after a failed one.",
         counts.retries},
        {"basilpath_leaf_probes_total",
         "Duplicates sent to replicas put aside.", counts.probes},
        {"basilpath_leaf_cancels_total", "Cancellations sent to leaves.",
         counts.cancels},
        {"basilpath_leaf_executes_total", "Requests to execute taken.",
         counts.executes},
        {"basilpath_leaf_replies_late_total",
         "Replies that came after their call had ended.", counts.late_replies},
        {"basilpath_leaf_replies_crossed_total",
         "Replies dropped because they answer another call.",
         counts.crossed_replies},
        {"basilpath_leaf_replies_malformed_total",
         "Replies dropped as malformed.", counts.bad_replies},
        {"basilpath_leaves_lost_total",
         "Leaves that went down while they ran a request.", counts.leaves_lost},
        {"basilpath_leaves_put_aside_total",
         "Times a replica was put aside as slower than its peers.",
         counts.put_aside},
        {"basilpath_leaf_connections_silent_total",
         "Requests unanswered on an old connection while a new one worked.",
         counts.silent_connections},
        {"basilpath_relay_pauses_total", "Times the process did not run.",
         counts.pauses},
        {"basilpath_peer_messages_sent_total",
         "Transport messages sent to other processes.", traffic.messages_sent},
        {"basilpath_peer_messages_received_total",
         "Transport messages received from other processes.",
         traffic.messages_received},
    });
}

} // namespace

std::string relay_metrics::expose(const relay_counts& counts,
                                  const relay_load& load,
                                  const leaf_table& leaves,
                                  const peer_traffic& traffic)
{
    for (const kept_counter& kept : kept_counters(counts, traffic))
    {
        counter& exposed = this->registry.add_counter(kept.name, kept.help);
        exposed.add(kept.value - exposed.value());
    }
    const auto set =
        [this](std::string_view name, std::string_view help, double value)
    {
        this->registry.add_gauge(name, help).set(value);
    };
    std::size_t in_use = 0;
    std::size_t aside = 0;
    for (const auto& [id, leaf] : leaves.all())
    {
        in_use += leaf->in_use;
        aside += leaf->put_aside ? 1 : 0;
    }
    set("basilpath_relay_sessions", "Queries and executes in progress.",
        static_cast<double>(load.in_progress));
    set("basilpath_slot_waiters", "Shards that wait for a slot.",
        static_cast<double>(load.waiting));
    set("basilpath_slots_in_use", "Slots of leaves that are held.",
        static_cast<double>(in_use));
    set("basilpath_leaves_aside", "Replicas that are put aside now.",
        static_cast<double>(aside));
    set("basilpath_quarantines", "Fingerprints in quarantine.",
        static_cast<double>(load.quarantined));
    return this->registry.expose();
}

} // namespace basilpath
