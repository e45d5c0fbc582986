/// The hosts of other failure domains that gather parts of a query there.
#pragma once

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

/// A host that may be asked to gather.
struct delegate
{
    /// Where it takes subqueries.
    peer_address address;
    failure_domain domain;

    bool operator==(const delegate&) const = default;
};

/// Knows which hosts can gather for this one and which subqueries are out.
/// A host is used while its link stands and it reports in time; one that is
/// silent or whose link broke is left alone until it has spoken again. Answers
/// the load in which hosts die, freeze or are cut off while others wait for
/// them. Does no input or output: messages leave through a function.
class delegate_pool
{
public:
    using sender =
        std::function<void(const peer_address&, const link_message&)>;

    /// Told of each report, and of nothing when none will come any more.
    using listener =
        std::function<void(subquery_number, std::optional<subquery_report>)>;

    delegate_pool(peer_address own, sender send);

    /// Takes the hosts of other failure domains that may be asked.
    void set_hosts(std::span<const delegate> wanted);

    /// The hosts to which links should stand: of each failure domain the first
    /// few, in an order that differs from host to host.
    [[nodiscard]] std::vector<delegate> linked() const;

    /// The host of a failure domain to ask now; nothing when none can be.
    [[nodiscard]] std::optional<delegate>
    usable_in(const failure_domain& domain) const;

    /// The failure domains in which a host can be asked now.
    [[nodiscard]] std::vector<failure_domain> usable_domains() const;

    /// Sends a subquery; gives it its number.
    subquery_number send(const peer_address& to, subquery asked, listener told);

    /// A shard is not wanted any more.
    void cancel_shard(subquery_number number, std::size_t shard);

    /// Nothing of the subquery is wanted any more, and nothing is told.
    void cancel(subquery_number number);

    /// All of the subquery has been told.
    void remove_subquery(subquery_number number);

    /// A report is overdue.
    void note_overdue(subquery_number number, instant now);

    /// How long a message and its answer travel to a host.
    [[nodiscard]] microseconds round_trip(const peer_address& host) const;

    /// The host has greeted on a new link.
    void on_hello(const peer_address& host);

    /// The link has ended.
    void on_closed(const peer_address& host);

    /// A report has come over a link that has this round trip.
    void on_report(const peer_address& host, subquery_report report,
                   microseconds round_trip);

    /// The host has been silent for so long that its link should be made anew.
    [[nodiscard]] bool link_spent(const peer_address& host, instant now) const;

    /// Subqueries to a host whose reports are awaited.
    [[nodiscard]] std::size_t outstanding(const peer_address& host) const;

private:
    /// What is known of a host.
    struct state
    {
        delegate host;
        bool greeted = false;
        std::optional<instant> silent_since;
        microseconds trip{0};

        [[nodiscard]] bool usable() const
        {
            return this->greeted && !this->silent_since;
        }
    };

    /// A subquery that is out.
    struct order
    {
        peer_address to;
        listener told;
    };

    [[nodiscard]] std::vector<const state*>
    ordered(const failure_domain& domain) const;

    peer_address own;
    sender send_message;
    std::map<peer_address, state> hosts;
    std::map<subquery_number, order> open;
    std::uint64_t last_number = 0;
};

} // namespace basilpath
