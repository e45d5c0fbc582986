#include "node/process/node.hpp"

#include "node/process/query_service.ipp"
#include "node/process/store_reader.ipp"
#include "node/process/subquery_service.ipp"
#include "node/process/target_pool.ipp"
#include "process/build_id.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <set>
#include <type_traits>
#include <utility>

namespace basilpath
{

namespace node_bounds
{

/// How long a replica is kept after its entry was removed, since the entry may
/// only have expired during an outage of the store.
inline constexpr milliseconds removal_grace{2'100};

/// Shortest time for which a leaving host keeps serving, so that callers stop
/// using it: the time for which they cache an answer of the directory, and a
/// margin. Later requests are refused.
inline constexpr milliseconds min_drain_time{2'500};

/// Time reserved before the forced end. Requests in progress are answered when
/// it begins.
inline constexpr milliseconds shutdown_margin{700};

/// Part of the reserved time in which the last answers are sent.
inline constexpr milliseconds answer_flush_time{300};

/// Time before the forced end by which the process ends by itself.
inline constexpr milliseconds min_exit_time{100};

/// How often a leaving host checks whether it can end.
inline constexpr milliseconds drain_interval{50};

/// Longest time for which callers may cache an answer of the directory, so that
/// they soon stop using a lost host.
inline constexpr milliseconds directory_max_age{2'000};

/// Connections to each replica that a serving host should have: one for a call,
/// and one for the next call while the first connection is closed after a
/// failure.
inline constexpr std::size_t connections_per_host = 2;

/// How often each host's share of the common limits is updated.
inline constexpr milliseconds update_interval{500};

/// Time within which hosts announce their demand after a replica names a limit.
inline constexpr milliseconds demand_announce_time{2'000};

/// Settings may change without a signal, so they are read in one of this many
/// update rounds.
inline constexpr std::uint64_t rounds_per_reload = 4;

/// Traffic between failure domains is logged in one of this many update rounds.
inline constexpr std::uint64_t rounds_per_traffic_log = 20;

/// The state of the view is logged in one of this many update rounds.
inline constexpr std::uint64_t rounds_per_view_log = 10;

/// Sends to replicas that name a limit are logged in one of this many update
/// rounds.
inline constexpr std::uint64_t rounds_per_limit_log = 4;

/// A process whose update round is later than this has been paused: it has not
/// yet received what happened meanwhile.
inline constexpr milliseconds max_round_delay{500};

/// A host that has just started may not have discovered all others yet, so it
/// assumes at least this many hosts for a while.
inline constexpr milliseconds discovery_time{3'000};
inline constexpr std::size_t assumed_hosts = 8;

/// Time for which a host that has just started sends nothing to cold replicas
/// with a rate, as it does not know with whom it shares the rate.
inline constexpr milliseconds cold_discovery_time{1'000};

/// Part of a host's memory that messages may hold. The allocator needs up to
/// as much again, as it grows a body by copying it; the rest is for the view of
/// the store and for the small messages that are always admitted.
inline constexpr double message_memory_fraction = 0.25;

inline std::size_t message_memory(const node_settings& settings)
{
    return static_cast<std::size_t>(settings.memory_bytes *
                                    message_memory_fraction);
}

} // namespace node_bounds

template <class Adapter>
node<Adapter>::node(boost::asio::io_context& context, node_settings initial,
                    settings_source source)
    : context(context), settings(std::move(initial)), last_read(this->settings),
      read_settings(std::move(source)), run(context, std::random_device{}()),
      memory(std::make_shared<memory_budget>(
          node_bounds::message_memory(this->settings))),
      targets(context, this->settings.domain, this->settings.peers,
              this->traffic, this->memory),
      repeats({this->settings.repeat_ratio, this->settings.repeat_slack,
               this->settings.repeat_window}),
      slack(this->settings.callers,
            to_instant(std::chrono::steady_clock::now())),
      crashes([this](const suspected_crash& one) { this->handle_crash(one); }),
      outgoing_links(context, this->traffic),
      delegates(this->settings.links,
                [this](const peer_address& to, const link_message& message)
                { return this->outgoing_links.send(to, message); }),
      shared{this->run,     this->targets, this->repeats,  this->requests,
             this->metrics, this->crashes, this->delegates},
      queries(this->shared), subqueries(this->shared),
      view([this](const item_change& change) { this->take_change(change); }),
      members(make_own_member(this->settings, this->run.random()),
              to_instant(std::chrono::steady_clock::now())),
      peers(context, this->run, this->members, this->view, this->crashes,
            this->targets.replica_limits(), this->traffic,
            this->settings.seeds),
      store(context.get_executor(), this->settings.store),
      reader(this->run, this->store, this->view, this->members,
             reader_role_of(this->settings)),
      callers(context, this->settings.callers.value,
              [this](std::shared_ptr<http_request> request,
                     std::shared_ptr<caller_presence> presence) {
                  return this->answer_caller(std::move(request),
                                             std::move(presence));
              }),
      readiness(context, this->settings.readiness.value,
                [this](const std::shared_ptr<http_request>&,
                       const std::shared_ptr<caller_presence>&)
                { return this->answer_readiness(); }),
      directory(context, this->settings.directory.value,
                [this](std::shared_ptr<http_request> request,
                       const std::shared_ptr<caller_presence>&)
                { return this->answer_directory(std::move(request)); })
{
    this->callers.set_memory(
        std::make_shared<memory_budget::account>(this->memory));
    if (!this->settings.metrics.value.empty())
    {
        this->metrics_server.emplace(
            context, this->settings.metrics.value,
            [this](const std::shared_ptr<http_request>&,
                   const std::shared_ptr<caller_presence>&)
            { return this->answer_metrics(); });
    }
    if (!this->settings.links.value.empty())
    {
        this->accept_links();
    }
    this->targets.set_cold_bound(this->settings.cold_bound);
    this->targets.set_replica_drain_timeout(
        this->settings.replica_drain_timeout);
    this->targets.on_connect_failed([this](const leaf_id& one, instant now)
                                    { this->crashes.note_down(one, now); });
    this->targets.on_abandoned_call_broken(
        [this](const target_call& call, instant now)
        {
            this->crashes.note_broken(fingerprint_of(*call.query),
                                      {call.to, now}, now);
        });
    this->peers.on_view_lag([this](microseconds lag)
                            { this->metrics.note_view_lag(lag); });
    this->peers.on_view_fetch(
        [this](microseconds took, bool received)
        { this->metrics.note_view_fetch(took, received); });
    this->reader.on_contact_change([this]
                                   { this->peers.push_state_to_readers(); });
    this->view.on_restore(
        [this] {
            this->deferred.restart(
                to_instant(std::chrono::steady_clock::now()));
        });
    this->started = std::chrono::steady_clock::now();
    this->update_shares();
}

template <class Adapter>
void node<Adapter>::start()
{
    log_event(log_level::info, "started",
              {{"release", BASILPATH_RELEASE},
               {"build", build_id()},
               {"domain", this->settings.domain.value},
               {"callers", this->settings.callers.value}});
    this->callers.start();
    this->readiness.start();
    this->directory.start();
    if (this->metrics_server)
    {
        this->metrics_server->start();
    }
    this->targets.start();
    this->outgoing_links.start(this->delegates);
    if (this->incoming_links)
    {
        this->incoming_links->start();
    }
    this->peers.start();
    boost::asio::co_spawn(this->context, this->reader.run(),
                          boost::asio::detached);
    boost::asio::co_spawn(this->context, this->run_periodic_tasks(),
                          boost::asio::detached);
    boost::asio::co_spawn(this->context, this->run_until_signal(),
                          boost::asio::detached);
}

template <class Adapter>
boost::asio::awaitable<http_response>
node<Adapter>::answer_caller(std::shared_ptr<http_request> request,
                             std::shared_ptr<caller_presence> presence)
{
    const auto query = std::make_shared<const caller_query>(Adapter::query(
        std::move(*request), to_instant(std::chrono::steady_clock::now())));
    presence->set_request(query->id);
    const auto caller = presence;
    const caller_reply reply =
        co_await this->queries.answer(query, std::move(presence));
    caller->hold(reply.memory);
    co_return Adapter::reply(reply);
}

template <class Adapter>
boost::asio::awaitable<http_response>
node<Adapter>::answer_directory(std::shared_ptr<http_request> request)
{
    const auto directory_query = Adapter::directory_request_of(*request);
    if (!directory_query)
    {
        co_return http_response(boost::beast::http::status::not_found, 11);
    }
    const cluster_state state = this->current_cluster();
    co_return Adapter::directory(select_hosts(state, *directory_query),
                                 std::min(node_bounds::directory_max_age,
                                          this->settings.directory_max_age));
}

template <class Adapter>
boost::asio::awaitable<http_response> node<Adapter>::answer_readiness()
{
    co_return Adapter::readiness(this->ready());
}

template <class Adapter>
boost::asio::awaitable<http_response> node<Adapter>::answer_metrics()
{
    const instant now = to_instant(std::chrono::steady_clock::now());
    node_stats stats;
    stats.traffic = this->traffic;
    stats.store_calls = this->store.calls();
    stats.datagrams_sent = this->peers.sent();
    stats.log_lines_dropped = dropped_log_lines();
    stats.message_bytes = static_cast<double>(this->memory->held());
    stats.message_bytes_refused = this->memory->refused();
    stats.requests_not_logged = this->requests.dropped();
    stats.live_hosts = static_cast<double>(this->members.live().size());
    const bool store_lost = this->members.own().store_lost;
    stats.hosts_without_store = static_cast<double>(
        this->members.store_lost_count() + (store_lost ? 1 : 0));
    stats.replicas = static_cast<double>(this->targets.replica_count());
    stats.slack_share = this->slack.share();
    const evacuated_domains& evacuated = this->targets.evacuations();
    stats.evacuated_domains = static_cast<double>(evacuated.count());
    stats.evacuation_revision =
        static_cast<double>(evacuated.position().revision);
    stats.evacuation_moved_calls = evacuated.moved_calls();
    stats.limited_replicas =
        static_cast<double>(this->targets.limited_replica_count());
    stats.cold_replicas =
        static_cast<double>(this->targets.cold_replica_count());
    stats.leaving_replicas =
        static_cast<double>(this->targets.leaving_replica_count());
    stats.quarantined_requests =
        static_cast<double>(this->crashes.quarantine_count(now));
    stats.scarce_groups =
        static_cast<double>(this->targets.scarce_group_count());
    stats.limited_by_purpose = this->targets.limited_send_total();
    stats.configuration_version =
        this->routes ? static_cast<double>(this->routes->version().value) : 0;
    const store_position position = this->view.view().position();
    stats.store_era = static_cast<double>(position.era.value);
    stats.store_revision = static_cast<double>(position.revision);
    stats.store_restores = this->view.restore_count();
    stats.deferred_changes = static_cast<double>(this->deferred.count());
    const milliseconds age = this->view.age(now).value_or(milliseconds(0));
    stats.view_age_seconds = static_cast<double>(age.count()) / 1000.0;
    stats.connections = static_cast<double>(this->callers.connection_count());
    http_response response(boost::beast::http::status::ok, 11);
    response.set(boost::beast::http::field::content_type,
                 std::string(metrics_registry::content_type));
    response.body() = this->metrics.expose(stats);
    co_return response;
}

template <class Adapter>
boost::asio::awaitable<void> node<Adapter>::run_until_signal()
{
    boost::asio::signal_set signals(this->context, SIGTERM, SIGINT, SIGHUP);
    while (true)
    {
        const auto [error, number] = co_await signals.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error || number != SIGHUP)
        {
            break;
        }
        this->reload();
    }
    co_await this->drain();
    this->context.stop();
}

// Applies changed settings. Limits and seeds take effect at once, addresses at
// the next start of the process.
template <class Adapter>
void node<Adapter>::reload()
{
    const std::optional<node_settings> loaded = this->read_settings();
    if (!loaded)
    {
        log_event(log_level::warning, "reload_refused", {});
        return;
    }
    if (*loaded == this->last_read)
    {
        return;
    }
    this->last_read = *loaded;
    const bool addresses_changed = !loaded->same_addresses(this->settings);
    this->settings.apply_reloadable(*loaded);
    this->peers.set_seeds(loaded->seeds);
    this->repeats.set_bound(
        {loaded->repeat_ratio, loaded->repeat_slack, loaded->repeat_window});
    this->memory->set_bound(node_bounds::message_memory(*loaded));
    this->targets.set_cold_bound(loaded->cold_bound);
    this->targets.set_replica_drain_timeout(loaded->replica_drain_timeout);
    this->update_shares();
    log_event(log_level::info, "reloaded",
              {{"addresses_need_restart", addresses_changed}});
}

// Keeps serving until callers stop using this host, then closes idle
// connections, refuses requests and waits for those in progress. They are
// answered before the forced end, whatever they wait for. The time to send the
// last answers begins when their due time is noticed, as the process may not
// have run when it came.
template <class Adapter>
boost::asio::awaitable<void> node<Adapter>::drain()
{
    log_event(log_level::info, "leaving",
              {{"answering", this->callers.busy_count()}});
    this->leaving = true;
    this->members.set_leaving();
    this->peers.push_state();
    this->callers.start_draining();
    const auto started = std::chrono::steady_clock::now();
    const auto answers_due = started + this->settings.shutdown_timeout -
                             node_bounds::shutdown_margin;
    this->shared.shutdown.set(
        to_instant(
            std::min(started + node_bounds::min_drain_time, answers_due)),
        to_instant(answers_due));
    const auto last_end =
        started + this->settings.shutdown_timeout - node_bounds::min_exit_time;
    std::optional<std::chrono::steady_clock::time_point> flush_end;
    milliseconds late{0};
    boost::asio::steady_timer timer(this->context);
    while (true)
    {
        timer.expires_after(node_bounds::drain_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const auto time = std::chrono::steady_clock::now();
        const bool past_drain_time =
            time - started > node_bounds::min_drain_time;
        if (past_drain_time)
        {
            this->callers.stop_accepting();
            this->callers.close_idle();
        }
        if (past_drain_time && this->callers.connection_count() == 0 &&
            this->subqueries.busy_count() == 0)
        {
            break;
        }
        if (flush_end && time >= *flush_end)
        {
            break;
        }
        if (!flush_end && time >= answers_due)
        {
            flush_end =
                std::min(time + node_bounds::answer_flush_time, last_end);
            late = std::chrono::duration_cast<milliseconds>(time - answers_due);
        }
    }
    const auto ended = std::chrono::steady_clock::now();
    this->callers.log_unfinished();
    this->requests.report_dropped();
    log_event(
        log_level::info, "stopped",
        {{"unanswered", this->callers.busy_count()},
         {"connections", this->callers.connection_count()},
         {"took_ms",
          std::chrono::duration_cast<milliseconds>(ended - started).count()},
         {"late_ms", late.count()}});
    flush_log();
}

// Logs and announces a replica crash that this host found.
template <class Adapter>
void node<Adapter>::handle_crash(const suspected_crash& crash)
{
    log_event(log_level::warning, "replica_crashed",
              {{"replica", crash.replica.value},
               {"fingerprint", crash.request_fingerprint.value},
               {"quarantined", this->crashes.quarantined(
                                   crash.request_fingerprint, crash.at)}});
    this->peers.announce_crash(crash);
}

// Follows a change of the store, later if it takes back what this host learned
// before the store was restored.
template <class Adapter>
void node<Adapter>::take_change(const item_change& change)
{
    const decoded_item item = Adapter::decode(change);
    const auto id = replica_of(item);
    if (this->deferred.admit(change, item,
                             id ? this->targets.find_known(*id) : std::nullopt,
                             this->settings.registration_timeout,
                             to_instant(std::chrono::steady_clock::now())))
    {
        this->apply_item(change, item, node_bounds::removal_grace);
    }
}

// Follows the deferred changes whose items were not written again in time.
template <class Adapter>
void node<Adapter>::apply_deferred()
{
    const auto confirmed = this->view.confirmed();
    if (!confirmed)
    {
        return;
    }
    for (const item_change& change : this->deferred.take_due(*confirmed))
    {
        log_event(log_level::info, "deferred_change_followed",
                  {{"key", change.key},
                   {"removed", !change.value},
                   {"era", change.era.value}});
        // A removal has waited for its grace already.
        this->apply_item(change, Adapter::decode(change), milliseconds(0));
    }
}

// Applies one change of the store. A replica that it removes is kept for
// `removal_grace`.
template <class Adapter>
void node<Adapter>::apply_item(const item_change& change,
                               const decoded_item& item,
                               milliseconds removal_grace)
{
    std::visit(
        [this, &change, removal_grace](const auto& one)
        {
            using type = std::decay_t<decltype(one)>;
            if constexpr (std::is_same_v<type, unusable_item>)
            {
                log_event(log_level::warning, "item_unusable",
                          {{"key", change.key}, {"reason", one.reason}});
            }
            else if constexpr (std::is_same_v<type, replica>)
            {
                this->targets.set_replica(one, change.position());
            }
            else if constexpr (std::is_same_v<type, replica_removed>)
            {
                this->targets.drop_replica(one.id, removal_grace);
            }
            else if constexpr (std::is_same_v<type, domain_evacuation>)
            {
                this->targets.set_evacuation(one.domain, one.in_force,
                                             change.position());
                // Shares follow the hosts that serve, once the whole update has
                // been applied.
                boost::asio::post(this->context,
                                  [this] { this->update_shares(); });
            }
            else if constexpr (!std::is_same_v<type, foreign_item>)
            {
                this->apply_routes(one, change.value ? change.value->size() : 0,
                                   change.position());
            }
        },
        item);
}

// Puts a version of the configuration in force, unless the current one is as
// new. The store's value had `bytes`, written at `position`.
template <class Adapter>
void node<Adapter>::apply_routes(
    const std::shared_ptr<const route_table>& table, std::size_t bytes,
    store_position position)
{
    if (this->routes && this->routes->version() >= table->version())
    {
        log_event(log_level::warning, "configuration_older",
                  {{"version", table->version().value},
                   {"in_force", this->routes->version().value}});
        return;
    }
    this->routes = table;
    this->targets.set_routes(table);
    this->queries.set_routes(table);
    this->subqueries.set_routes(table);
    this->callers.set_limits(table->limits());
    const bool was_ready = this->members.own().ready;
    this->members.set_ready(true);
    if (!was_ready)
    {
        this->peers.push_state();
    }
    log_event(log_level::info, "configuration",
              {{"version", table->version().value},
               {"routes", table->route_count()},
               {"bytes", bytes},
               {"revision", position.revision}});
}

// Updates this host's share of the common limits at intervals, flushes the log,
// reloads settings and logs traffic.
template <class Adapter>
boost::asio::awaitable<void> node<Adapter>::run_periodic_tasks()
{
    boost::asio::steady_timer timer(this->context);
    std::uint64_t rounds = 0;
    while (true)
    {
        timer.expires_after(node_bounds::update_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const auto time = std::chrono::steady_clock::now();
        if (time - timer.expiry() > node_bounds::max_round_delay)
        {
            this->deferred.restart(to_instant(time));
        }
        this->apply_deferred();
        this->targets.expire_departed();
        this->update_shares();
        this->requests.report_dropped();
        flush_log();
        if (++rounds % node_bounds::rounds_per_reload == 0)
        {
            this->reload();
        }
        if (rounds % node_bounds::rounds_per_limit_log == 0)
        {
            this->targets.log_limited_sends();
        }
        if (rounds % node_bounds::rounds_per_view_log == 0)
        {
            this->log_view();
        }
        if (rounds % node_bounds::rounds_per_traffic_log == 0)
        {
            this->log_traffic();
        }
    }
}

// Logs the traffic between failure domains, since it is costly.
template <class Adapter>
void node<Adapter>::log_traffic() const
{
    const auto total = [this](traffic_purpose purpose)
    {
        return this->traffic.total(purpose);
    };
    log_event(log_level::info, "domain_traffic",
              {{"calls", total(traffic_purpose::calls)},
               {"subqueries", total(traffic_purpose::subqueries)},
               {"membership", total(traffic_purpose::membership)},
               {"views", total(traffic_purpose::views)}});
}

// Logs on which state of the store this host stands.
template <class Adapter>
void node<Adapter>::log_view() const
{
    const auto age =
        this->view.age(to_instant(std::chrono::steady_clock::now()));
    log_event(log_level::info, "view",
              {{"version", this->routes ? this->routes->version().value : 0},
               {"era", this->view.view().position().era.value},
               {"revision", this->view.view().position().revision},
               {"deferred", this->deferred.count()},
               {"age_ms", age ? age->count() : -1},
               {"store_calls", this->store.calls()}});
}

template <class Adapter>
void node<Adapter>::update_shares()
{
    const auto now = std::chrono::steady_clock::now();
    const std::set<http_address> serving =
        serving_hosts(this->current_cluster(), this->settings.domains);
    this->targets.set_serving_hosts(serving.size(),
                                    serving.contains(this->settings.callers));
    this->update_slack_share(to_instant(now), serving);
    const gathering_hosts gathering = choose_gathering_hosts(
        this->members.live(), serving, this->settings.domain,
        this->targets.evacuations());
    this->delegates.set_hosts(gathering.delegates);
    this->targets.set_local_host_count(gathering.local_host_count);
    this->update_limit_shares(to_instant(now), serving);
}

// Divides the slack of the retry budget.
template <class Adapter>
void node<Adapter>::update_slack_share(instant now,
                                       const std::set<http_address>& serving)
{
    const std::size_t counted_before = this->slack.counted_hosts();
    this->slack.update(this->members.budget_host_count(now), serving,
                       this->settings.repeat_window, now);
    this->repeats.set_slack_share(this->slack.share());
    if (this->slack.counted_hosts() != counted_before)
    {
        log_event(log_level::info, "slack_divided",
                  {{"hosts", this->slack.counted_hosts()},
                   {"serving", serving.size()},
                   {"serves", serving.contains(this->settings.callers)},
                   {"share", this->slack.share()}});
    }
}

// Announces this host's demand for the services of which a replica names a
// limit, and divides the limits by the demands that hosts announce.
template <class Adapter>
void node<Adapter>::update_limit_shares(instant now,
                                        const std::set<http_address>& serving)
{
    // Step 1. Announce this host's demand.
    const std::set<demand_group> groups = this->targets.limited_groups();
    std::erase_if(this->limited_since, [&groups](const auto& one)
                  { return !groups.contains(one.first); });
    for (const demand_group group : groups)
    {
        this->limited_since.try_emplace(group, now);
    }
    const std::vector<host_demand> demands = this->targets.demands(groups);
    this->settled.note(demands, now);
    if (this->members.set_demands(demands))
    {
        this->peers.push_state();
    }

    // Step 2. Divide the limits.
    std::vector<demanding_host> sharers = this->members.limit_sharers(now);
    std::set<peer_address> serving_peers;
    for (const member& one : this->members.live())
    {
        if (serving.contains(one.callers))
        {
            serving_peers.insert(one.address);
        }
    }
    for (demanding_host& one : sharers)
    {
        one.serves = serving_peers.contains(one.address);
    }
    const auto running = std::chrono::steady_clock::now() - this->started;
    const bool discovering = running < node_bounds::discovery_time;
    this->targets.set_cold_sharers_known(running >=
                                         node_bounds::cold_discovery_time);
    if (discovering)
    {
        add_unknown_hosts(sharers, node_bounds::assumed_hosts);
    }
    for (const auto& [group, since] : this->limited_since)
    {
        if (discovering || now - since < node_bounds::demand_announce_time)
        {
            assume_equal_demand(sharers, group);
        }
    }
    this->targets.set_limit_sharers(std::move(sharers), this->settled.lowest(),
                                    this->settings.domains.size());
}

// Listens for hosts that send subqueries to this one.
template <class Adapter>
void node<Adapter>::accept_links()
{
    using link = typename subquery_service<real_runtime, pool>::link;
    this->incoming_links.emplace(
        this->context, this->settings.links, this->traffic,
        [this](link_server::sender send)
        {
            const auto made =
                std::make_shared<link>(this->subqueries, std::move(send));
            return link_server::link_handler{[made](const link_message& message)
                                             { return made->take(message); },
                                             [made]
                                             {
                                                 made->close();
                                             }};
        });
}

template <class Adapter>
cluster_state node<Adapter>::current_cluster() const
{
    return {this->members.live(), this->targets.shard_domains(),
            this->targets.min_connection_limit() /
                node_bounds::connections_per_host};
}

// A host without a configuration cannot serve, and a leaving one should not.
template <class Adapter>
bool node<Adapter>::ready() const
{
    return this->routes != nullptr && !this->leaving;
}

} // namespace basilpath
