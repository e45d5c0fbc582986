/// One replica with its connections and what is known of it.
#pragma once

#include "node/connection/target_connection.hpp"
#include "node/process/call_queue.hpp"
#include "node/process/replica_health.hpp"
#include "node/version/replica.hpp"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace basilpath
{

namespace replica_entry_bounds
{

/// A connection that takes longer is given up: the replica is dark, or its
/// queue of new connections is full.
inline constexpr milliseconds connect_limit{400};

/// An idle connection is closed this much before the replica would.
inline constexpr milliseconds idle_margin{1'000};

} // namespace replica_entry_bounds

/// A replica, its connections and the calls that wait for one.
template <target_codec Codec>
struct replica_entry
{
    using connection = target_connection<Codec>;

    replica target;
    replica_health health;
    std::vector<std::shared_ptr<connection>> connections;
    call_queue waiting;

    /// It is off the list, and given up at this time unless it comes back.
    instant gone_at{};
    bool lapsed = false;

    /// A call broke; it is to be seen whether the replica still listens.
    bool check_due = false;

    /// Tells whether an entry of the list is about the process that is known.
    [[nodiscard]] bool same_process(const replica& other) const
    {
        return this->target.started == other.started &&
               this->target.address == other.address &&
               this->target.service == other.service;
    }

    /// A connection without a call that has been idle for less than `most`;
    /// null when there is none.
    [[nodiscard]] std::shared_ptr<connection>
    idle_connection(instant now, microseconds most) const
    {
        const auto found = std::ranges::find_if(
            this->connections, [&](const auto& open)
            { return open->idle() && now - open->state_since() < most; });
        return found == this->connections.end() ? nullptr : *found;
    }

    /// Closes connections whose call has ended or is not waited for, that are
    /// not made in time, and that the replica would soon close for idleness.
    void close_overdue(instant now)
    {
        using namespace replica_entry_bounds;
        const auto open_connections = this->connections;
        for (const auto& open : open_connections)
        {
            const auto& call = open->carried();
            const microseconds age = now - open->state_since();
            const bool cut =
                call &&
                ((call->abandoned && now >= call->connection_close_at) ||
                 now >= call->deadline);
            const bool stuck = open->connecting() && age > connect_limit;
            const bool old =
                open->idle() &&
                age > std::max(open->keep_alive_timeout() - idle_margin,
                               open->keep_alive_timeout() / 2);
            if (cut || stuck || old)
            {
                open->close();
            }
        }
    }

    /// Ends calls that have not left.
    void end_unsent(const std::vector<std::shared_ptr<target_call>>& calls,
                    instant now)
    {
        for (const auto& call : calls)
        {
            this->health.on_withdrawn(now, false);
            if (call->done)
            {
                const auto done = std::exchange(call->done, nullptr);
                done({call_end::unsent, {}, microseconds(0)});
            }
        }
    }

    /// Connections that are not made yet.
    [[nodiscard]] std::size_t connecting() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->connections, [](const auto& open)
                                  { return open->connecting(); }));
    }

    /// Calls that are on a connection.
    [[nodiscard]] std::size_t carried() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->connections, [](const auto& open)
                                  { return open->carried() != nullptr; }));
    }
};

} // namespace basilpath
