/// Serves the subqueries of other hosts.
#pragma once

#include "node/request/request_services.hpp"
#include "node/request/subquery.hpp"
#include "node/request/subquery_session.hpp"
#include "node/version/route_table.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace basilpath
{

/// Runs a session for each subquery; those of one link end with it.
template <runtime Runtime, target_transport Transport>
class subquery_service
{
public:
    using session = subquery_session<Runtime, Transport>;

    /// Sends a message over the link on which the subqueries arrived.
    using sender = std::function<void(const link_message&)>;

    /// The subqueries of one link.
    class link
    {
    public:
        link(subquery_service& owner, sender send);

        /// Processes a message. False when the host that starts subqueries
        /// never sends such a message.
        bool take(const link_message& message);

        /// Cancels all subqueries when the link ends.
        void close();

    private:
        friend class subquery_service;

        void start(const subquery& requested);
        void refuse(const subquery& requested);

        subquery_service& owner;
        sender send;
        std::map<subquery_number, std::weak_ptr<session>> sessions;
    };

    explicit subquery_service(request_services<Runtime, Transport>& shared)
        : shared(shared)
    {
    }

    /// Sets the routes for subsequent subqueries.
    void set_routes(const std::shared_ptr<const route_table>& table)
    {
        this->routes = table;
    }

    /// Number of subqueries in progress.
    [[nodiscard]] std::size_t busy_count() const
    {
        return this->running;
    }

private:
    request_services<Runtime, Transport>& shared;
    std::shared_ptr<const route_table> routes;
    std::size_t running = 0;
};

} // namespace basilpath
