/// Connections to replicas, and what is known of each.
#pragma once

#include "node/process/placement.hpp"
#include "node/process/replica_entry.hpp"
#include "node/process/replica_list.hpp"
#include "node/process/replica_share.hpp"
#include "node/process/route_latencies.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/request/target_call.hpp"
#include "node/version/replica.hpp"
#include "node/version/route_table.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilpath
{

/// The transport of sessions to replicas. Keeps this host's share of each
/// replica's connections, and queues calls when all of them are busy. Used on
/// one thread.
template <target_codec Codec>
class target_pool
{
public:
    target_pool(boost::asio::io_context& context, failure_domain domain,
                traffic_meter& traffic);

    /// Has `told` called whenever a replica refuses connections.
    void
    on_connect_failed(const std::function<void(const leaf_id&, instant)>& told)
    {
        this->told_refused = told;
    }

    /// Begins to sweep connections and to check replicas that are down.
    void start();

    /// Takes a replica, new or changed.
    void set_replica(const replica& one);

    /// A replica is off the list; it is used for `removal_grace` more, and only
    /// when there is no other, in case it comes back.
    void drop_replica(const leaf_id& id, milliseconds removal_grace);

    /// Takes the connection bounds of services.
    void set_routes(const std::shared_ptr<const route_table>& routes);

    /// Takes the number of hosts that callers are sent to, which share each
    /// replica's connections and slots, and whether this is one of them. Only
    /// such a host keeps a connection to each replica in advance.
    void set_serving_hosts(std::size_t hosts, bool serves);

    /// Takes the number of hosts that send calls to the replicas of this host's
    /// failure domain; the others have them asked through those.
    void set_local_host_count(std::size_t hosts)
    {
        this->local_host_count = std::max<std::size_t>(hosts, 1);
    }

    /// The replicas of a service.
    [[nodiscard]] std::vector<candidate>
    candidates(const service_name& service) const;

    /// Starts a call.
    void send(const std::shared_ptr<target_call>& call);

    /// The session does not wait for this call any more. It may end by itself
    /// within `grace`, then its connection is closed.
    void abandon(const std::shared_ptr<target_call>& call, milliseconds grace);

    /// What calls of a route have lately taken.
    [[nodiscard]] route_latency latency(const std::string& route) const;

    /// The least connections that a replica of a shard accepts from all hosts;
    /// zero when there is none.
    [[nodiscard]] std::size_t min_connection_limit() const;

    /// The failure domains in which replicas of shards stand.
    [[nodiscard]] std::set<failure_domain> shard_domains() const;

    [[nodiscard]] const failure_domain& domain() const
    {
        return this->own_domain;
    }

    [[nodiscard]] std::size_t replica_count() const
    {
        return this->replicas.all().size();
    }

private:
    using entry = replica_entry<Codec>;
    using connection = typename entry::connection;
    using entry_pointer = std::shared_ptr<entry>;

    void open(const entry_pointer& one);
    void dispatch(const entry_pointer& one);
    [[nodiscard]] bool has_room(const entry& one) const;
    void take_result(const entry_pointer& one,
                     const std::shared_ptr<target_call>& call,
                     target_result result);
    void take_closed(const entry_pointer& one,
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
    replica_list<entry> replicas;
    route_latencies latencies;
    std::shared_ptr<const route_table> table;
    std::set<service_name> shard_services;
    sharing_hosts hosts;
    std::size_t local_host_count = 1;
    std::function<void(const leaf_id&, instant)> told_refused;
};

} // namespace basilpath
