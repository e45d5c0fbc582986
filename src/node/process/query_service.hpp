/// Answers callers' requests by the routes in force.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/process/overload_gate.hpp"
#include "node/process/request_split.hpp"
#include "node/process/retry_after.hpp"
#include "node/request/caller_query.hpp"
#include "node/request/decision_trace.hpp"
#include "node/request/forward_session.hpp"
#include "node/request/gather_session.hpp"
#include "node/request/request_services.hpp"
#include "node/version/route_table.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>

namespace basilpath
{

/// Selects the route of each request and runs its session.
template <runtime Runtime, target_transport Transport>
class query_service
{
public:
    explicit query_service(request_services<Runtime, Transport>& shared)
        : shared(shared), unconfigured_since(to_instant(Runtime::clock::now()))
    {
    }

    /// Sets the routes for subsequent requests.
    void set_routes(const std::shared_ptr<const route_table>& table)
    {
        this->routes = table;
        std::erase_if(this->splits, [&table](const auto& one)
                      { return !table->named(one.first); });
    }

    boost::asio::awaitable<caller_reply>
    answer(std::shared_ptr<const caller_query> query,
           std::shared_ptr<caller_presence> presence);

private:
    /// State of a request during its session.
    struct request_state
    {
        std::shared_ptr<const route_table> table;
        const route& rule;
        std::shared_ptr<const caller_query> query;
        std::shared_ptr<caller_presence> presence;
        request_summary summary;
        decision_trace trace;
    };

    using state_pointer = std::shared_ptr<request_state>;

    boost::asio::awaitable<caller_reply> gather(state_pointer state);
    boost::asio::awaitable<caller_reply> forward(state_pointer state);
    [[nodiscard]] bool stopping() const;
    void record_unrouted(const caller_query& query, unsigned status,
                         const std::string& outcome);
    void record_end(request_state& state, const caller_reply& reply);
    [[nodiscard]] caller_reply refuse(request_state& state, unsigned status,
                                      const std::string& outcome);
    [[nodiscard]] caller_reply refuse(request_state& state, unsigned status,
                                      const std::string& outcome,
                                      const retry_after_range& range);
    [[nodiscard]] milliseconds draw_retry_after(const retry_after_range& range);
    [[nodiscard]] milliseconds spent(const route& rule,
                                     milliseconds caller_timeout);
    [[nodiscard]] service_name choose_part(const route& rule);

    request_services<Runtime, Transport>& shared;
    std::shared_ptr<const route_table> routes;

    /// When this host began to wait for its first routes.
    instant unconfigured_since;
    overload_gate gate;

    /// Longest caller timeout seen on each route, which is that of a first
    /// attempt.
    std::map<std::string, milliseconds> longest_caller_timeout;

    /// By the name of the route.
    std::map<std::string, request_split> splits;
};

} // namespace basilpath
