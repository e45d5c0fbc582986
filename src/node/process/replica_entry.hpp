/// A replica with its connections and statistics.
#pragma once

#include "node/connection/target_connection.hpp"
#include "node/process/call_queue.hpp"
#include "node/process/leaving_notice.hpp"
#include "node/process/limit_bucket.hpp"
#include "node/process/memory_budget.hpp"
#include "node/process/replica_health.hpp"
#include "node/version/replica.hpp"
#include "node/version/store_position.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace basilpath
{

namespace replica_entry_bounds
{

/// Time limit of connecting. Beyond it the replica is unreachable or its accept
/// queue is full.
inline constexpr milliseconds connect_timeout{400};

/// An idle connection is closed this long before the replica would close it.
inline constexpr milliseconds idle_margin{1'000};

/// A replica may be closing a connection that has been idle for longer.
inline constexpr milliseconds max_reliable_idle{500};

} // namespace replica_entry_bounds

/// A replica, its connections and the calls that wait for one.
template <target_codec Codec>
struct replica_entry
{
    using connection = target_connection<Codec>;

    replica target;
    replica_health health;

    /// Bytes of this replica's answers.
    std::shared_ptr<memory_budget::account> memory;
    std::vector<std::shared_ptr<connection>> connections;
    call_queue waiting;

    /// This host's share of the limits in force on the replica: the one that it
    /// names and the one while it is cold. Nothing when there is none.
    std::optional<limit_bucket> limit;

    /// Whether the limit of cold replicas is among them.
    bool cold_limit = false;

    /// The position at which the replica was assumed cold as its domain's
    /// evacuation ended; null once the replica has said whether it is.
    std::optional<store_position> assumed_cold_at;

    /// A delisted replica is removed at this time unless it is listed again.
    instant remove_at{};
    bool delisted = false;

    /// Set while nothing may be sent to the replica's failure domain.
    bool evacuated = false;

    /// What the replica's answers say of its departure.
    leaving_notice notice;

    /// Whether the end of its time as the last choice is logged.
    bool last_choice_ended = false;

    /// If the last connection closes before this time, a new one checks whether
    /// the replica still accepts connections. Set when a call broke.
    instant connect_check_until{};

    /// Returns whether a list entry describes the process of this entry.
    [[nodiscard]] bool same_process(const replica& other) const
    {
        return this->target.same_process(other);
    }

    /// Returns the last registration, with what the answers say since.
    [[nodiscard]] replica last_known() const
    {
        replica last = this->target;
        last.leaving = last.leaving || this->notice.given();
        return last;
    }

    /// Returns whether the replica has said that it leaves, or is off the list:
    /// its end is no crash.
    [[nodiscard]] bool announced_end() const
    {
        return this->target.leaving || this->notice.given() || this->delisted;
    }

    /// Returns whether nothing may be sent to the replica.
    [[nodiscard]] bool closed_to_requests(instant now) const
    {
        return this->evacuated ||
               this->notice.phase(now) == leaving_phase::over;
    }

    /// Returns whether the limit admits a request now.
    [[nodiscard]] bool limit_admits(instant now) const
    {
        return !this->limit || this->limit->wait(0, now) == microseconds(0);
    }

    /// Counts a request that is sent now; false when the limit does not admit
    /// it.
    [[nodiscard]] bool take_limit(instant now)
    {
        return !this->limit || this->limit->try_take(now);
    }

    /// Returns a connection without a call, or null. One with unread bytes is
    /// about to be closed.
    [[nodiscard]] std::shared_ptr<connection> idle_connection() const
    {
        return this->find_idle([](const connection&) { return true; });
    }

    /// Returns a connection for a call that must not be sent twice, or null.
    [[nodiscard]] std::shared_ptr<connection>
    reliable_connection(instant now) const
    {
        return this->find_idle(
            [now](const connection& open)
            {
                return now - open.state_since() <
                           replica_entry_bounds::max_reliable_idle &&
                       open.answers_identified();
            });
    }

    /// Closes connections whose call has passed its deadline or was abandoned,
    /// that were not established in time, or that the replica would soon close
    /// as idle.
    void close_overdue(instant now)
    {
        using namespace replica_entry_bounds;
        const auto open_connections = this->connections;
        for (const auto& open : open_connections)
        {
            const auto& call = open->carried();
            const microseconds age = now - open->state_since();
            const bool call_overdue =
                call &&
                ((call->abandoned && now >= call->connection_close_at) ||
                 now >= call->deadline);
            const bool connect_overdue =
                open->connecting() && age > connect_timeout;
            const bool idle_overdue =
                open->idle() &&
                age > std::max(open->keep_alive_timeout() - idle_margin,
                               open->keep_alive_timeout() / 2);
            if (call_overdue || connect_overdue || idle_overdue)
            {
                open->close();
            }
        }
    }

    /// Closes the connections that carry no call. Returns their number.
    std::size_t close_idle()
    {
        std::size_t closed = 0;
        const auto open_connections = this->connections;
        for (const auto& open : open_connections)
        {
            if (open->idle())
            {
                open->close();
                ++closed;
            }
        }
        return closed;
    }

    /// Completes calls as unsent.
    void fail_unsent(const std::vector<std::shared_ptr<target_call>>& calls,
                     instant now)
    {
        for (const auto& call : calls)
        {
            this->health.on_cancelled(now, false);
            if (call->trial)
            {
                this->health.on_trial_ended(now, trial_end::unsent);
            }
            if (call->done)
            {
                const auto done = std::exchange(call->done, nullptr);
                done({call_end::unsent, {}, microseconds(0)});
            }
        }
    }

    /// Returns a connection without a call that meets a condition, or null.
    template <std::predicate<const connection&> Condition>
    [[nodiscard]] std::shared_ptr<connection> find_idle(Condition meets) const
    {
        const auto found =
            std::ranges::find_if(this->connections,
                                 [&meets](const auto& open) {
                                     return open->idle() && meets(*open) &&
                                            !open->has_unread_bytes();
                                 });
        return found == this->connections.end() ? nullptr : *found;
    }

    /// Number of connections that are not established yet.
    [[nodiscard]] std::size_t connecting() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->connections, [](const auto& open)
                                  { return open->connecting(); }));
    }

    /// Number of calls in progress on a connection.
    [[nodiscard]] std::size_t carried() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->connections, [](const auto& open)
                                  { return open->carried() != nullptr; }));
    }
};

} // namespace basilpath
