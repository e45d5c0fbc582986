/// Connections to replicas and the statistics of each replica.
#pragma once

#include "node/process/cold_limit.hpp"
#include "node/process/cold_speed.hpp"
#include "node/process/demand_meter.hpp"
#include "node/process/departed_replicas.hpp"
#include "node/process/evacuated_domains.hpp"
#include "node/process/limit_shares.hpp"
#include "node/process/limited_sends.hpp"
#include "node/process/memory_budget.hpp"
#include "node/process/named_limits.hpp"
#include "node/process/placement.hpp"
#include "node/process/replica_entry.hpp"
#include "node/process/replica_list.hpp"
#include "node/process/replica_share.hpp"
#include "node/process/restored_items.hpp"
#include "node/process/room_meter.hpp"
#include "node/process/route_latencies.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/request/target_call.hpp"
#include "node/version/replica.hpp"
#include "node/version/route_table.hpp"
#include "node/version/store_position.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilpath
{

/// Transport of sessions to replicas. Keeps within this host's share of each
/// replica's connections, and queues calls while all of them are busy. Used on
/// one thread.
template <target_codec Codec>
class target_pool
{
public:
    target_pool(
        boost::asio::io_context& context, failure_domain domain,
        peer_address own_address, traffic_meter& traffic,
        std::shared_ptr<memory_budget> memory =
            std::make_shared<memory_budget>(memory_budget::default_bound));

    /// Sets the callback for failed attempts to connect to a replica that has
    /// not said that it leaves.
    void on_connect_failed(
        const std::function<void(const leaf_id&, instant)>& callback)
    {
        this->connect_failed_callback = callback;
    }

    /// Sets the callback for calls that were sent and got no whole answer after
    /// their sessions had abandoned them, unless their request was answered.
    void on_abandoned_call_broken(
        const std::function<void(const target_call&, instant)>& callback)
    {
        this->abandoned_broken_callback = callback;
    }

    /// Starts the periodic check of connections and of replicas that are down.
    void start();

    /// Adds or updates a replica, as of a position in the store's history.
    /// Calls that wait for a replica that begins to leave end as unsent.
    void set_replica(const replica& one, store_position as_of = {});

    /// Takes a replica off the list. It remains for `removal_grace` in case it
    /// is listed again, and is used only when there is no other. If there is,
    /// calls that wait for it end as unsent.
    void drop_replica(const leaf_id& id, milliseconds removal_grace);

    /// Returns what is known of a replica that is listed or was of late.
    [[nodiscard]] std::optional<known_replica>
    find_known(const leaf_id& id) const;

    /// Forgets replicas that were removed long ago.
    void expire_departed()
    {
        this->departed.expire(now());
    }

    /// Sets whether nothing may be sent to the replicas of a failure domain, as
    /// of a revision of the store. Calls that wait for one of them end as
    /// unsent.
    void set_evacuation(const failure_domain& domain, bool in_force,
                        store_position as_of);

    /// The failure domains to whose replicas nothing may be sent.
    [[nodiscard]] const evacuated_domains& evacuations() const
    {
        return this->evacuated;
    }

    /// Sets what all hosts together may send to a cold replica.
    void set_cold_bound(const cold_excess& bound);

    /// Sets whether this host knows the hosts with which it shares the rates of
    /// cold replicas. While it does not, it sends them nothing.
    void set_cold_sharers_known(bool known);

    /// Number of replicas whose requests are limited because they are cold.
    [[nodiscard]] std::size_t cold_replica_count() const;

    /// Sets for how long a replica that leaves serves what it gets.
    void set_replica_drain_timeout(milliseconds timeout)
    {
        this->replica_drain_timeout = timeout;
    }

    /// Number of replicas whose answers say that they leave.
    [[nodiscard]] std::size_t leaving_replica_count() const;

    /// Sets the connection limits of services.
    void set_routes(const std::shared_ptr<const route_table>& routes);

    /// Sets the number of hosts that serve callers, which share each replica's
    /// connections and slots, and whether this host is one of them. Only such a
    /// host opens a connection to each replica in advance.
    void set_serving_hosts(std::size_t hosts, bool serves);

    /// Sets the number of hosts that send calls to the replicas of this host's
    /// failure domain; other hosts reach those replicas through them.
    void set_local_host_count(std::size_t hosts)
    {
        this->local_host_count = std::max<std::size_t>(hosts, 1);
    }

    /// Returns the replicas of a service.
    [[nodiscard]] std::vector<candidate>
    candidates(const service_name& service) const;

    /// Sends a call, or queues it until the replica has room.
    void send(const std::shared_ptr<target_call>& call);

    /// Abandons a call for which the session no longer waits. Its connection is
    /// closed unless the call ends by itself within `grace`.
    void abandon(const std::shared_ptr<target_call>& call, milliseconds grace);

    /// Records that no replica of a service could be called because of the
    /// limits that they name. Counts as demand, so that this host gets a larger
    /// share of the limits.
    void note_unplaced(const service_name& service);

    /// Returns the groups of services with a replica whose requests are
    /// limited.
    [[nodiscard]] std::set<demand_group> limited_groups() const;

    /// Returns this host's demand for these groups.
    [[nodiscard]] std::vector<host_demand>
    demands(const std::set<demand_group>& groups);

    /// Sets the hosts that share the limits, see `limit_shares::set_hosts`.
    void set_limit_sharers(std::vector<demanding_host> sharers,
                           std::vector<host_demand> settled,
                           std::size_t domains);

    /// Limits of replicas, which hosts exchange.
    [[nodiscard]] named_limits& replica_limits()
    {
        return this->limits;
    }

    /// Returns the recent latencies of a route's calls.
    [[nodiscard]] route_latency latency(const std::string& route) const;

    /// Returns whether the replicas of a service and of those that are called
    /// together with it have no slots to spare.
    [[nodiscard]] bool room_is_scarce(const service_name& service) const;

    /// Number of groups of services whose replicas have no slots to spare.
    [[nodiscard]] std::size_t scarce_group_count() const;

    /// Returns the smallest number of connections that a replica of a shard
    /// accepts from all hosts together; zero when there is none.
    [[nodiscard]] std::size_t min_connection_limit() const;

    /// Returns the failure domains of the replicas of shards that may be
    /// called.
    [[nodiscard]] std::set<failure_domain> shard_domains() const;

    [[nodiscard]] const failure_domain& domain() const
    {
        return this->own_domain;
    }

    [[nodiscard]] std::size_t replica_count() const
    {
        return this->replicas.all().size();
    }

    /// Number of replicas that name a limit.
    [[nodiscard]] std::size_t limited_replica_count() const
    {
        return this->limits.count(now());
    }

    /// Sends to replicas that name a limit, by purpose.
    [[nodiscard]] const limited_sends::by_purpose& limited_send_total() const
    {
        return this->limited.total();
    }

    /// Logs the sends to replicas that name a limit since the last call.
    void log_limited_sends();

private:
    using entry = replica_entry<Codec>;
    using connection = typename entry::connection;
    using entry_pointer = std::shared_ptr<entry>;

    [[nodiscard]] bool any_listed(const service_name& service) const;
    void return_waiting(const entry_pointer& one);
    void open(const entry_pointer& one);
    void dispatch(const entry_pointer& one);
    [[nodiscard]] bool has_room(const entry& one) const;
    void on_result(const entry_pointer& one,
                   const std::shared_ptr<target_call>& call,
                   target_result result);
    void note_failure(const entry_pointer& one,
                      const std::shared_ptr<target_call>& call, instant time);
    void note_abandoned_broken(const entry_pointer& one,
                               const target_call& call, instant time);
    void note_leaving(const entry_pointer& one, const target_reply& reply,
                      instant time);
    void sweep_leaving(const entry_pointer& one, instant time);
    void note_belief(const entry_pointer& one, replica_belief before,
                     instant time);
    void note_send(const leaf_id& replica, call_purpose purpose);
    void apply_limit(const entry_pointer& one);
    [[nodiscard]] std::optional<limit_share> cold_share(const entry& one,
                                                        instant time);
    void set_warmup(const entry_pointer& one, milliseconds left);
    void update_warmup(const entry_pointer& known, const replica& listed,
                       store_position as_of);
    void apply_all_limits();
    [[nodiscard]] demand_group group_of(const service_name& service) const;
    [[nodiscard]] const service_name&
    first_of_group(const service_name& service) const;
    void note_room(const entry& one, const replica_load& load, instant time);
    void on_closed(const entry_pointer& one,
                   const std::shared_ptr<connection>& ended, bool made);
    void sweep_entry(const entry_pointer& one, instant now);
    boost::asio::awaitable<void> sweep();
    boost::asio::awaitable<void> probe(entry_pointer one);
    [[nodiscard]] const service_rule* rule_of(const entry& one) const;
    [[nodiscard]] std::size_t connection_bound(const entry& one) const;
    static instant now();

    boost::asio::io_context& context;
    failure_domain own_domain;
    traffic_meter& traffic;
    std::shared_ptr<memory_budget> memory;
    replica_list<entry> replicas;
    departed_replicas departed;
    evacuated_domains evacuated;
    route_latencies latencies;
    named_limits limits;
    limit_shares shares;
    milliseconds replica_drain_timeout{3'000};
    cold_excess cold_bound;
    bool cold_sharers_known = true;
    std::shared_ptr<cold_speed> cold_replica_speed =
        std::make_shared<cold_speed>();
    demand_meter demand;

    /// By the first service of each group.
    std::map<service_name, room_meter> room;
    limited_sends limited;
    std::shared_ptr<const route_table> table;
    std::set<service_name> shard_services;
    sharing_hosts hosts;
    std::size_t local_host_count = 1;
    std::function<void(const leaf_id&, instant)> connect_failed_callback;
    std::function<void(const target_call&, instant)> abandoned_broken_callback;
};

} // namespace basilpath
