/// Hosts of other failure domains that gather parts of a query there.
#pragma once

#include "node/connection/stream_position.hpp"
#include "node/request/subquery.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace basilpath
{

/// A host to which subqueries can be delegated.
struct delegate
{
    /// Address at which it accepts subqueries.
    peer_address address;
    failure_domain domain;

    bool operator==(const delegate&) const = default;
};

/// Tracks which hosts can gather for this one and which subqueries are pending.
/// A host is used while its link is up and it reports in time. One that is
/// silent or whose link broke is not used until it sends a report or a hello
/// again. Handles hosts that die, freeze or are partitioned off while others
/// wait for them. Does no I/O itself: messages are sent through the given
/// function.
class delegate_pool
{
public:
    /// Returns the position of the message on the link to the host, or nothing
    /// when it was not sent.
    using sender = std::function<std::optional<stream_position>(
        const peer_address&, const link_message&)>;

    /// Called with each report, and with no report once none can arrive any
    /// more. A subquery that cannot have left this host is reported like one
    /// that the other host refuses.
    using listener =
        std::function<void(subquery_number, std::optional<subquery_report>)>;

    delegate_pool(peer_address own, sender send);

    /// Replaces the hosts of other failure domains that can be used.
    void set_hosts(std::span<const delegate> delegates);

    /// Returns the hosts to keep links to: of each failure domain the first
    /// few, in an order that differs from host to host.
    [[nodiscard]] std::vector<delegate> link_targets() const;

    /// Returns the host to use in a failure domain, or nothing if none is
    /// usable.
    [[nodiscard]] std::optional<delegate>
    usable_in(const failure_domain& domain) const;

    /// Returns the failure domains that have a usable host.
    [[nodiscard]] std::vector<failure_domain> usable_domains() const;

    /// Assigns a number to a subquery and sends it. Calls the handler at once
    /// when there is no link.
    subquery_number send(const peer_address& to, subquery request,
                         listener report_handler);

    /// Cancels one shard of a subquery.
    void cancel_shard(subquery_number number, std::size_t shard);

    /// Cancels a subquery; its listener is not called any more.
    void cancel(subquery_number number);

    /// Removes a subquery whose reports have all arrived.
    void remove_subquery(subquery_number number);

    /// Records that a report of the subquery is overdue.
    void note_overdue(subquery_number number, instant now);

    /// Round-trip time to a host; zero if unknown.
    [[nodiscard]] microseconds round_trip(const peer_address& host) const;

    /// Records that the host sent its hello on a new link.
    void on_hello(const peer_address& host);

    /// Records that the link closed and ends the subqueries on it. Those from
    /// `unsent_from` on have not left this host; without it, all may have.
    void on_closed(const peer_address& host,
                   std::optional<stream_position> unsent_from = std::nullopt);

    /// Passes a report to its listener and stores the link's round-trip time.
    void on_report(const peer_address& host, subquery_report report,
                   microseconds round_trip);

    /// Returns whether the host has been silent for so long that its link must
    /// be reopened.
    [[nodiscard]] bool link_timed_out(const peer_address& host,
                                      instant now) const;

    /// Number of pending subqueries to a host.
    [[nodiscard]] std::size_t outstanding(const peer_address& host) const;

private:
    /// State of a host and of its link.
    struct state
    {
        delegate host;
        bool hello_received = false;
        std::optional<instant> silent_since;
        microseconds round_trip_time{0};

        [[nodiscard]] bool usable() const
        {
            return this->hello_received && !this->silent_since;
        }
    };

    /// A subquery that was sent and has not ended.
    struct pending_subquery
    {
        peer_address to;
        listener report_handler;
        std::vector<std::size_t> shards;
        stream_position position{};
    };

    static void report_unsent(subquery_number number,
                              const pending_subquery& one);
    [[nodiscard]] std::vector<const state*>
    by_preference(const failure_domain& domain) const;

    peer_address own;
    sender send_message;
    std::map<peer_address, state> hosts;
    std::map<subquery_number, pending_subquery> pending;
    std::uint64_t last_number = 0;
};

} // namespace basilpath
