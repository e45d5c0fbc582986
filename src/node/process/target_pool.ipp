#include "node/connection/endpoint.hpp"
#include "node/connection/target_connection.ipp"
#include "node/process/crash_detector.hpp"
#include "node/process/health_check.hpp"
#include "node/process/target_pool.hpp"
#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace target_pool_bounds
{

/// Interval of the connection sweep, and thus the least time by which a call
/// may exceed its end.
inline constexpr milliseconds sweep_interval{20};

} // namespace target_pool_bounds

template <target_codec Codec>
target_pool<Codec>::target_pool(boost::asio::io_context& context,
                                failure_domain domain, peer_address own_address,
                                traffic_meter& traffic,
                                std::shared_ptr<memory_budget> memory)
    : context(context), own_domain(std::move(domain)), traffic(traffic),
      memory(std::move(memory)), shares(std::move(own_address))
{
}

template <target_codec Codec>
void target_pool<Codec>::start()
{
    boost::asio::co_spawn(this->context, this->sweep(), boost::asio::detached);
}

template <target_codec Codec>
void target_pool<Codec>::set_replica(const replica& one, store_position as_of)
{
    if (const entry_pointer known = this->replicas.find(one.id))
    {
        if (known->same_process(one))
        {
            const bool begins_to_leave = one.leaving && !known->target.leaving;
            this->update_warmup(known, one, as_of);
            known->target = one;
            known->delisted = false;
            known->evacuated = this->evacuated.contains(one.domain);
            if (known->evacuated)
            {
                this->dispatch(known);
            }
            if (begins_to_leave)
            {
                this->return_waiting(known);
            }
            return;
        }
        this->drop_replica(one.id, milliseconds(0));
    }
    const auto made = std::make_shared<entry>(entry{
        one,
        replica_health(one.slots, one.warmup, now(), this->cold_replica_speed),
        std::make_shared<memory_budget::account>(this->memory),
        {},
        {},
        {},
        false,
        {},
        {},
        false,
        this->evacuated.contains(one.domain),
        this->departed.notice_of(one)});
    this->replicas.add(made);
    this->apply_limit(made);
    if (this->hosts.own && !made->notice.given())
    {
        this->open(made);
    }
}

// Returns whether a service has a replica on the list that may receive calls.
template <target_codec Codec>
bool target_pool<Codec>::any_listed(const service_name& service) const
{
    return std::ranges::any_of(this->candidates(service),
                               [](const candidate& one)
                               {
                                   return !one.delisted && is_eligible(one) &&
                                          one.leaving == leaving_phase::none;
                               });
}

// Returns the calls that wait for a replica which drains or was taken off the
// list to their sessions: it may exit before it has answered them.
template <target_codec Codec>
void target_pool<Codec>::return_waiting(const entry_pointer& one)
{
    const auto calls = one->waiting.take_all();
    log_event(log_level::info, "replica_leaving",
              {{"replica", one->target.id.value},
               {"service", one->target.service.value},
               {"delisted", one->delisted},
               {"calls_moved", calls.size()},
               {"calls_in_progress", one->carried()}});
    one->fail_unsent(calls, now());
}

template <target_codec Codec>
void target_pool<Codec>::drop_replica(const leaf_id& id,
                                      milliseconds removal_grace)
{
    const entry_pointer one = this->replicas.find(id);
    if (!one)
    {
        return;
    }
    if (removal_grace > milliseconds(0))
    {
        one->delisted = true;
        one->remove_at = now() + removal_grace;
        if (this->any_listed(one->target.service))
        {
            this->return_waiting(one);
        }
        return;
    }
    this->replicas.remove(one);
    this->departed.note(one->last_known(), now(), one->notice);
    one->fail_unsent(one->waiting.take_all(), now());
    one->close_idle();
}

template <target_codec Codec>
std::optional<known_replica>
target_pool<Codec>::find_known(const leaf_id& id) const
{
    if (const entry_pointer listed = this->replicas.find(id))
    {
        return known_replica{listed->last_known(), !listed->delisted};
    }
    const auto last = this->departed.find(id);
    return last ? std::optional(known_replica{*last, false}) : std::nullopt;
}

template <target_codec Codec>
void target_pool<Codec>::set_routes(
    const std::shared_ptr<const route_table>& routes)
{
    this->table = routes;
    this->shard_services = this->table->shard_services();
    this->apply_all_limits();
}

template <target_codec Codec>
std::set<failure_domain> target_pool<Codec>::shard_domains() const
{
    std::set<failure_domain> domains =
        this->replicas.domains(this->shard_services);
    std::erase_if(domains, [this](const failure_domain& one)
                  { return this->evacuated.contains(one); });
    return domains;
}

template <target_codec Codec>
void target_pool<Codec>::set_serving_hosts(std::size_t hosts, bool serving)
{
    const bool starts_serving = serving && !this->hosts.own;
    this->hosts = {std::max<std::size_t>(hosts, 1), serving};
    if (!starts_serving)
    {
        return;
    }
    for (const auto& [id, one] : this->replicas.all())
    {
        if (one->connections.empty() && !one->last_known().leaving)
        {
            this->open(one);
        }
    }
}

template <target_codec Codec>
std::size_t target_pool<Codec>::min_connection_limit() const
{
    return this->table ? this->table->min_shard_connection_limit() : 0;
}

template <target_codec Codec>
std::vector<candidate>
target_pool<Codec>::candidates(const service_name& service) const
{
    return this->replicas.candidates(service, now());
}

template <target_codec Codec>
void target_pool<Codec>::send(const std::shared_ptr<target_call>& call)
{
    const entry_pointer one = this->replicas.find(call->to);
    if (!one || one->closed_to_requests(now()))
    {
        call->done({call_end::unsent, {}, microseconds(0)});
        return;
    }
    this->demand.note(this->group_of(one->target.service),
                      one->target.domain == this->own_domain, now());
    call->trial = one->health.on_sent(now());
    one->waiting.push(call);
    this->dispatch(one);
}

template <target_codec Codec>
void target_pool<Codec>::abandon(const std::shared_ptr<target_call>& call,
                                 milliseconds grace)
{
    call->abandoned = true;
    call->done = nullptr;
    call->connection_close_at = now() + grace;
}

template <target_codec Codec>
route_latency target_pool<Codec>::latency(const std::string& route) const
{
    return this->latencies.of(route);
}

template <target_codec Codec>
bool target_pool<Codec>::room_is_scarce(const service_name& service) const
{
    const auto found = this->room.find(this->first_of_group(service));
    return found != this->room.end() && found->second.scarce(now());
}

template <target_codec Codec>
std::size_t target_pool<Codec>::scarce_group_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->room | std::views::values,
        [time = now()](const room_meter& one) { return one.scarce(time); }));
}

// Records the load that a replica reports with an answer.
template <target_codec Codec>
void target_pool<Codec>::note_room(const entry& one, const replica_load& load,
                                   instant time)
{
    const service_name& first = this->first_of_group(one.target.service);
    room_meter& meter = this->room[first];
    if (meter.note(load, time))
    {
        log_event(
            log_level::info, meter.scarce(time) ? "room_scarce" : "room_spare",
            {{"service", first.value},
             {"waiting_share", fmt::format("{:.2f}", meter.waiting_share())}});
    }
}

// Opens one more connection, which serves waiting calls once it is established.
template <target_codec Codec>
void target_pool<Codec>::open(const entry_pointer& one)
{
    if (one->closed_to_requests(now()))
    {
        return;
    }
    const auto address = to_endpoint(one->target.address.value);
    if (!address)
    {
        one->fail_unsent(one->waiting.take_all(), now());
        return;
    }
    const std::weak_ptr<entry> weak = one;
    typename connection::callbacks handlers;
    handlers.ready = [this, weak](const std::shared_ptr<connection>&)
    {
        if (const auto owner = weak.lock())
        {
            this->dispatch(owner);
        }
    };
    handlers.result = [this, weak](const std::shared_ptr<target_call>& call,
                                   target_result result)
    {
        if (const auto owner = weak.lock())
        {
            this->on_result(owner, call, std::move(result));
        }
        else if (call->done)
        {
            call->done(std::move(result));
        }
    };
    handlers.closed =
        [this, weak](const std::shared_ptr<connection>& ended, bool made)
    {
        if (const auto owner = weak.lock())
        {
            this->on_closed(owner, ended, made);
        }
    };
    const bool cross_domain = one->target.domain != this->own_domain;
    handlers.bytes_transferred = [this, cross_domain](std::size_t bytes)
    {
        if (cross_domain)
        {
            this->traffic.add(traffic_purpose::calls, bytes);
        }
    };
    const auto opened =
        std::make_shared<connection>(this->context.get_executor(), *address,
                                     one->memory, std::move(handlers));
    one->connections.push_back(opened);
    boost::asio::co_spawn(this->context, opened->run(), boost::asio::detached);
}

// Sends waiting calls while the replica has room for more calls of this host,
// and opens connections for the rest.
template <target_codec Codec>
void target_pool<Codec>::dispatch(const entry_pointer& one)
{
    const instant time = now();
    if (one->closed_to_requests(time))
    {
        one->fail_unsent(one->waiting.take_all(), time);
        one->close_idle();
        return;
    }
    one->fail_unsent(one->waiting.take_expired(time), now());
    if (!one->limit_admits(time))
    {
        one->fail_unsent(one->limit->open() ? one->waiting.take_late(time)
                                            : one->waiting.take_all(),
                         time);
        return;
    }
    while (!one->waiting.empty() && this->has_room(*one) &&
           one->limit_admits(time))
    {
        auto idle = one->idle_connection();
        if (!idle)
        {
            break;
        }
        const auto call = one->waiting.pop(time, one->health.service_time());
        if (call->needs_reliable_connection)
        {
            const auto unreliable = idle;
            idle = one->reliable_connection(now());
            if (!idle)
            {
                // Replaces the connection by a new one.
                one->waiting.push(call);
                unreliable->close();
                this->open(one);
                return;
            }
        }
        if (!one->take_limit(time))
        {
            one->waiting.push(call);
            return;
        }
        this->note_send(one->target.id, call->purpose);
        idle->send(call, time);
    }
    const bool any_idle = one->idle_connection() != nullptr;
    if (one->waiting.size() > one->connecting() && !any_idle &&
        one->connections.size() < this->connection_bound(*one) &&
        this->has_room(*one))
    {
        this->open(one);
    }
}

template <target_codec Codec>
bool target_pool<Codec>::has_room(const entry& one) const
{
    const bool same_domain = one.target.domain == this->own_domain;
    return may_send(
        {one.target.slots, one.carried(), one.health.external_requests(now())},
        {same_domain ? this->local_host_count : this->hosts.count, true});
}

template <target_codec Codec>
void target_pool<Codec>::on_result(const entry_pointer& one,
                                   const std::shared_ptr<target_call>& call,
                                   target_result result)
{
    const instant time = now();
    const replica_belief before = one->health.belief();
    if (result.end == call_end::answered)
    {
        const bool good = result.reply.success();
        if (!result.reply.misdirected())
        {
            if (result.reply.cold_left)
            {
                one->assumed_cold_at.reset();
                this->set_warmup(one, *result.reply.cold_left);
            }
            this->limits.note_answer(one->target.id, result.reply.named_limit,
                                     good, call->sent, time);
            this->apply_limit(one);
            if (result.reply.load)
            {
                this->note_room(*one, *result.reply.load, time);
            }
        }
        if (good)
        {
            this->latencies.record_call(call->route, time, result.latency,
                                        result.reply.body.size());
        }
        one->health.on_answer(time, result.latency,
                              this->latency(call->route).usual,
                              result.reply.load, good);
        if (call->trial)
        {
            one->health.on_trial_ended(time, trial_end::answered);
        }
        this->note_leaving(one, result.reply, time);
        if (result.reply.misdirected())
        {
            log_event(log_level::info, "replica_misdirected",
                      {{"replica", one->target.id.value}});
            this->drop_replica(one->target.id, milliseconds(0));
        }
    }
    else
    {
        this->note_failure(one, call, time);
    }
    this->note_belief(one, before, time);
    if (call->done)
    {
        const auto done = std::exchange(call->done, nullptr);
        done(std::move(result));
    }
}

// Records a call that got no whole answer.
template <target_codec Codec>
void target_pool<Codec>::note_failure(const entry_pointer& one,
                                      const std::shared_ptr<target_call>& call,
                                      instant time)
{
    const bool overdue =
        one->health.overdue(time, call->sent, this->latency(call->route).usual);
    if (call->abandoned)
    {
        const bool missed_deadline = overdue && time >= call->deadline;
        one->health.on_cancelled(time,
                                 one->health.silent(time) || missed_deadline);
        this->note_abandoned_broken(one, *call, time);
    }
    else
    {
        one->health.on_broken(time);
        one->connect_check_until = time + crash_window;
    }
    if (call->trial)
    {
        one->health.on_trial_ended(time, call->abandoned && !overdue
                                             ? trial_end::abandoned
                                             : trial_end::broken);
    }
}

// Records a call that broke when nobody waited for it. It may have crashed its
// replica all the same, unless its request was answered.
template <target_codec Codec>
void target_pool<Codec>::note_abandoned_broken(const entry_pointer& one,
                                               const target_call& call,
                                               instant time)
{
    if (call.request_answered)
    {
        return;
    }
    one->connect_check_until = time + crash_window;
    if (this->abandoned_broken_callback)
    {
        this->abandoned_broken_callback(call, time);
    }
}

// Logs a change of belief after a call. Calls that wait for a replica that was
// left are returned to their sessions, since it would not answer them.
template <target_codec Codec>
void target_pool<Codec>::note_belief(const entry_pointer& one,
                                     replica_belief before, instant time)
{
    const replica_belief after = one->health.belief();
    if (after == before)
    {
        return;
    }
    if (after == replica_belief::up)
    {
        log_event(log_level::info, "replica_up",
                  {{"replica", one->target.id.value},
                   {"service", one->target.service.value}});
        return;
    }
    const auto rest = std::chrono::duration_cast<milliseconds>(
        one->health.next_probe() - time);
    log_event(log_level::info, "replica_left",
              {{"replica", one->target.id.value},
               {"service", one->target.service.value},
               {"reason", before == replica_belief::on_trial ? "trial failed"
                                                             : "no answers"},
               {"failures", one->health.failed_calls()},
               {"next_trial_ms", rest.count()}});
    one->fail_unsent(one->waiting.take_all(), time);
}

template <target_codec Codec>
void target_pool<Codec>::on_closed(const entry_pointer& one,
                                   const std::shared_ptr<connection>& ended,
                                   bool made)
{
    std::erase(one->connections, ended);
    if (!made)
    {
        const bool was_down = one->health.down();
        one->health.on_connect_failed(now());
        if (this->connect_failed_callback && !one->announced_end())
        {
            this->connect_failed_callback(one->target.id, now());
        }
        if (!was_down && one->health.down())
        {
            log_event(log_level::info, "replica_down",
                      {{"replica", one->target.id.value},
                       {"service", one->target.service.value},
                       {"reason", "no connection"}});
        }
        if (one->connections.empty())
        {
            one->fail_unsent(one->waiting.take_all(), now());
        }
        return;
    }
    this->dispatch(one);
    // A replica whose call this host has given up runs on.
    if (one->connections.empty() && now() < one->connect_check_until &&
        !ended->closed_abandoned_call())
    {
        // A failed attempt to connect reveals at once that the replica has
        // crashed.
        one->connect_check_until = {};
        this->open(one);
    }
}

template <target_codec Codec>
void target_pool<Codec>::sweep_entry(const entry_pointer& one, instant time)
{
    one->close_overdue(time);
    if (one->cold_limit && !one->health.cold(time))
    {
        this->apply_limit(one);
    }
    this->sweep_leaving(one, time);
    if (!one->waiting.empty())
    {
        this->dispatch(one);
    }
    if (one->health.down() && !one->evacuated && !one->notice.given() &&
        time >= one->health.next_probe() && one->take_limit(time))
    {
        one->health.on_probe_started(time);
        boost::asio::co_spawn(this->context, this->probe(one),
                              boost::asio::detached);
    }
}

template <target_codec Codec>
boost::asio::awaitable<void> target_pool<Codec>::sweep()
{
    boost::asio::steady_timer timer(this->context);
    while (true)
    {
        timer.expires_after(target_pool_bounds::sweep_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        const instant time = now();
        std::vector<leaf_id> gone;
        for (const auto& [id, one] : this->replicas.all())
        {
            this->sweep_entry(one, time);
            if (one->delisted && time >= one->remove_at)
            {
                gone.push_back(id);
            }
        }
        for (const leaf_id& id : gone)
        {
            log_event(log_level::info, "replica_gone", {{"replica", id.value}});
            this->drop_replica(id, milliseconds(0));
        }
    }
}

// Checks the health of a replica that is down, on a separate connection.
template <target_codec Codec>
boost::asio::awaitable<void> target_pool<Codec>::probe(entry_pointer one)
{
    const service_rule* const rule = this->rule_of(*one);
    this->note_send(one->target.id, call_purpose::probe);
    const instant sent = now();
    replica target = one->target;
    std::string wanted = rule ? rule->health_path : "/health";
    const auto reply = co_await check_health<Codec>(
        this->context.get_executor(), std::move(target), std::move(wanted));
    if (!reply)
    {
        co_return;
    }
    this->note_leaving(one, *reply, now());
    if (reply->status != healthy_status)
    {
        co_return;
    }
    this->limits.note_answer(one->target.id, reply->named_limit, false, sent,
                             now());
    if (reply->cold_left)
    {
        one->assumed_cold_at.reset();
        this->set_warmup(one, *reply->cold_left);
    }
    this->apply_limit(one);
    one->health.on_probe(now(), true, reply->load);
    const bool trial = one->health.belief() == replica_belief::on_trial;
    log_event(log_level::info, trial ? "replica_on_trial" : "replica_up",
              {{"replica", one->target.id.value},
               {"service", one->target.service.value}});
    if (one->connections.empty() && !one->notice.given() &&
        this->replicas.find(one->target.id) == one)
    {
        this->open(one);
    }
}

// Returns the configuration of a replica's service, or null.
template <target_codec Codec>
const service_rule* target_pool<Codec>::rule_of(const entry& one) const
{
    return this->table ? this->table->service(one.target.service) : nullptr;
}

template <target_codec Codec>
std::size_t target_pool<Codec>::connection_bound(const entry& one) const
{
    const service_rule* const rule = this->rule_of(one);
    const std::size_t limit = rule ? rule->connections : one.target.slots;
    return connection_share(limit, this->hosts);
}

template <target_codec Codec>
instant target_pool<Codec>::now()
{
    return to_instant(std::chrono::steady_clock::now());
}

} // namespace basilpath

#include "node/process/target_pool_evacuation.ipp"
#include "node/process/target_pool_leaving.ipp"
#include "node/process/target_pool_limits.ipp"
