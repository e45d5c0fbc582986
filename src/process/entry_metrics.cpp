#include "process/entry_metrics.hpp"

#include "process/process_usage.hpp"
#include "version/request_class.hpp"

#include <array>
#include <cstdint>
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

// Brings an exposed counter up to a counter that is kept elsewhere.
void follow(metrics_registry& registry, const kept_counter& kept)
{
    counter& exposed = registry.add_counter(kept.name, kept.help);
    exposed.add(kept.value - exposed.value());
}

} // namespace

void entry_metrics::record(const request_class& owner, result_code code,
                           microseconds latency)
{
    const metric_label by_class{"class", owner.name.value};
    this->registry
        .add_counter("basilpath_answers_total",
                     "Answers given to callers, by class and result code.",
                     {by_class, {"code", std::string(info(code).name)}})
        .add();
    this->registry
        .add_histogram("basilpath_answer_seconds",
                       "Time from a request's arrival to its answer.",
                       {by_class})
        .record(latency);
}

std::string
entry_metrics::expose(const entry_context<real_runtime, peer_hub>& shared,
                      const home<real_runtime, peer_hub>& own_home)
{
    const entry_counters& sessions = shared.counters;
    const home_counters& executes = own_home.counters();
    const peer_traffic& traffic = shared.transport.traffic();
    const auto kept = std::to_array<kept_counter>({
        {"basilpath_shards_asked_total", "Shards asked of relays.",
         sessions.shards_asked},
        {"basilpath_shards_merged_total", "Shard results merged into answers.",
         sessions.shards_merged},
        {"basilpath_owner_failovers_total",
         "Shards asked of a further owner because the first fell silent.",
         sessions.failovers},
        {"basilpath_version_restarts_total",
         "Queries run once more on another index version.",
         sessions.version_restarts},
        {"basilpath_canaries_total",
         "Shards on which a query that was not proven was tried.",
         sessions.canaries},
        {"basilpath_results_duplicate_total",
         "Shard results dropped as duplicates or of an earlier attempt.",
         sessions.duplicate_results},
        {"basilpath_results_wrong_version_total",
         "Shard results dropped as of another index version.",
         sessions.wrong_version_results},
        {"basilpath_results_malformed_total",
         "Shard results dropped as malformed.", sessions.malformed_results},
        {"basilpath_results_late_total",
         "Replies dropped because their request had ended.",
         shared.router.late()},
        {"basilpath_callers_gone_total",
         "Queries cancelled because the caller went away.", sessions.cancelled},
        {"basilpath_homes_lost_total",
         "Requests to execute whose home could not be asked.",
         sessions.homes_lost},
        {"basilpath_executes_started_total",
         "Idempotency keys started by this home.", executes.started},
        {"basilpath_executes_repeated_total",
         "Requests to execute answered from an earlier one.", executes.repeats},
        {"basilpath_executes_unknown_total",
         "Requests to execute whose outcome was unknown at the deadline.",
         executes.unknown},
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
        follow(this->registry, one);
    }
    this->registry
        .add_gauge("basilpath_outcomes_kept",
                   "Idempotency keys whose outcome is remembered.")
        .set(static_cast<double>(own_home.remembered()));
    for (const auto& [name, gate] : shared.gates)
    {
        const metric_labels by_service{{"service", name.value}};
        this->registry
            .add_gauge("basilpath_admission_limit",
                       "Requests of a service that may be in progress.",
                       by_service)
            .set(static_cast<double>(gate->limit_now()));
        this->registry
            .add_gauge("basilpath_admitted",
                       "Requests of a service in progress.", by_service)
            .set(static_cast<double>(gate->admitted_now()));
    }
    const process_usage used = read_process_usage();
    this->registry
        .add_gauge("basilpath_process_cpu_seconds",
                   "Processor time used by the process.")
        .set(used.cpu_seconds);
    this->registry
        .add_gauge("basilpath_process_resident_bytes",
                   "Most resident memory the process has had.")
        .set(used.peak_resident_bytes);
    return this->registry.expose();
}

} // namespace basilpath
