/// The query node: one process that serves callers and connects targets, store
/// and peers.
#pragma once

#include "node/connection/http_server.hpp"
#include "node/process/deferred_changes.hpp"
#include "node/process/delegate_links.hpp"
#include "node/process/delegate_pool.hpp"
#include "node/process/directory_request.hpp"
#include "node/process/gathering_hosts.hpp"
#include "node/process/host_selection.hpp"
#include "node/process/link_server.hpp"
#include "node/process/member_list.hpp"
#include "node/process/memory_budget.hpp"
#include "node/process/node_identity.hpp"
#include "node/process/node_settings.hpp"
#include "node/process/peer_exchange.hpp"
#include "node/process/query_service.hpp"
#include "node/process/retry_budget.hpp"
#include "node/process/settled_demand.hpp"
#include "node/process/slack_division.hpp"
#include "node/process/store_reader.hpp"
#include "node/process/store_view.hpp"
#include "node/process/subquery_service.hpp"
#include "node/process/target_pool.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/version/decoded_item.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace basilpath
{

/// Combines the parts of a node. The adapter translates between the node and
/// the platform's protocols: items of the store, requests and answers of
/// callers, calls to targets, the directory and readiness.
template <class Adapter>
class node
{
public:
    /// Reads the settings again; returns nothing if they are invalid.
    using settings_source = std::function<std::optional<node_settings>()>;

    /// Listens on the addresses of the settings; throws if that fails.
    node(boost::asio::io_context& context, node_settings settings,
         settings_source read_settings);

    /// Starts all tasks. SIGTERM or SIGINT drains the node and stops the
    /// context.
    void start();

private:
    using pool = target_pool<typename Adapter::codec>;
    using shared_services = request_services<real_runtime, pool>;

    boost::asio::awaitable<http_response>
    answer_caller(std::shared_ptr<http_request> request,
                  std::shared_ptr<caller_presence> presence);
    boost::asio::awaitable<http_response>
    answer_directory(std::shared_ptr<http_request> request);
    boost::asio::awaitable<http_response> answer_readiness();
    boost::asio::awaitable<http_response> answer_metrics();
    boost::asio::awaitable<void> run_until_signal();
    boost::asio::awaitable<void> drain();
    void reload();
    void handle_crash(const suspected_crash& crash);
    void take_change(const item_change& change);
    void apply_deferred();
    void apply_item(const item_change& change, const decoded_item& item,
                    milliseconds removal_grace);
    void apply_routes(const std::shared_ptr<const route_table>& table,
                      std::size_t bytes, store_position position);
    boost::asio::awaitable<void> run_periodic_tasks();
    void update_shares();
    void update_slack_share(instant now, const std::set<http_address>& serving);
    void update_limit_shares(instant now,
                             const std::set<http_address>& serving);
    void accept_links();
    void log_traffic() const;
    void log_view() const;
    [[nodiscard]] cluster_state current_cluster() const;
    [[nodiscard]] bool ready() const;

    boost::asio::io_context& context;
    node_settings settings;

    /// Settings as last read; changed addresses take effect only after a
    /// restart.
    node_settings last_read;
    settings_source read_settings;
    real_runtime run;
    traffic_meter traffic;
    std::shared_ptr<memory_budget> memory;
    pool targets;
    retry_budget repeats;
    slack_division slack;
    request_log requests;
    node_metrics metrics;
    crash_detector crashes;
    delegate_links outgoing_links;
    delegate_pool delegates;
    shared_services shared;
    query_service<real_runtime, pool> queries;
    subquery_service<real_runtime, pool> subqueries;
    store_view view;
    deferred_changes deferred;
    member_list members;
    peer_exchange peers;
    typename Adapter::source store;
    store_reader<real_runtime, typename Adapter::source> reader;
    node_http_server callers;
    node_http_server readiness;
    node_http_server directory;
    std::optional<node_http_server> metrics_server;
    std::optional<link_server> incoming_links;
    std::shared_ptr<const route_table> routes;
    std::chrono::steady_clock::time_point started;

    settled_demand settled;

    /// When a replica of each group first named its limit.
    std::map<demand_group, instant> limited_since;
    bool leaving = false;
};

} // namespace basilpath
