/// The other hosts that a host has discovered, and their states.
#pragma once

#include "node/process/limit_shares.hpp"
#include "node/process/member.hpp"
#include "process/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace basilpath
{

/// Tracks the other hosts by direct probes and by gossip. A member that misses
/// several probes is declared dead, which is gossiped, until its process
/// refutes it. The list is kept in memory only. Handles machines that die,
/// freeze, are partitioned off or are replaced, many of them at once.
class member_list
{
public:
    member_list(member own, instant now);

    /// Merges a description received from another host. Returns whether it
    /// replaces the one in the list.
    bool merge(const member& received, instant now);

    /// Records that a datagram arrived from this member.
    void note_alive(const peer_address& address, instant now);

    /// Returns the members to probe now: the next in turn, those that missed
    /// the last probe, and at intervals one declared dead. First declares
    /// members dead that have missed too many probes. In a failure domain with
    /// enough members most probes stay within the domain, since traffic between
    /// domains is costly.
    [[nodiscard]] std::vector<peer_address> next_probes(instant now);

    /// Returns up to `most` descriptions to gossip, those sent least often
    /// first. Each is sent a number of times that grows with the logarithm of
    /// the number of members.
    [[nodiscard]] std::vector<member> gossip(std::size_t most);

    /// These change this host's description and raise its counter.
    void set_ready(bool ready);
    void set_leaving();
    void set_store_lost(bool lost);

    /// Changes this host's demands, of which the first few are announced. For
    /// the other groups no host announces any, which divides their limits
    /// equally. Returns whether the announced ones differ.
    bool set_demands(std::vector<host_demand> demands);

    [[nodiscard]] const member& own() const
    {
        return this->self;
    }

    /// Members that are not dead, this host first.
    [[nodiscard]] std::vector<member> live() const;

    /// Returns the description of another host, or null if it is not in the
    /// list.
    [[nodiscard]] const member* find(const peer_address& address) const;

    /// Returns whether this host limits its traffic to a member: the member is
    /// in another failure domain, and this host's domain has enough members to
    /// probe and update each other.
    [[nodiscard]] bool limits_traffic_to(const peer_address& address) const;

    /// Returns up to `most` random live members to send a change to, only a few
    /// of them in other domains when `limits_traffic_to` holds for those.
    [[nodiscard]] std::vector<peer_address>
    push_targets(std::size_t most, std::uint64_t random) const;

    /// Addresses of the members that are not dead, without this host.
    [[nodiscard]] std::vector<peer_address> peers() const;

    /// Number of hosts among which shared limits are divided: those that are
    /// not dead and those that died a short time ago.
    [[nodiscard]] std::size_t budget_host_count(instant now) const;

    /// Hosts that share the limits of replicas: those that are not dead, and
    /// those that died a short time ago, since they may only be unreachable
    /// from here. When that is most of them, this host is probably the one that
    /// is cut off, and they count for longer.
    [[nodiscard]] std::vector<demanding_host> limit_sharers(instant now) const;

    /// Position of this host, from 0, among the alive members in the order in
    /// which hosts read the store: rendezvous hash order, those that have lost
    /// the store last.
    [[nodiscard]] std::size_t rank() const;

    /// Returns up to `most` other hosts, the first in the order in which hosts
    /// read the store.
    [[nodiscard]] std::vector<peer_address>
    first_readers(std::size_t most) const;

    /// Number of other alive members that have lost the store.
    [[nodiscard]] std::size_t store_lost_count() const;

    /// Returns when another member was last reported to have lost the store.
    [[nodiscard]] instant last_store_loss() const
    {
        return this->store_loss_at;
    }

    /// Returns the members whose state changed since the last call, for the
    /// log.
    [[nodiscard]] std::vector<member> take_changes();

private:
    /// The entry of another host.
    struct record
    {
        member description;
        instant last_received{};
        instant probed_at{};
        unsigned unanswered_probes = 0;
        instant died_at{};
        unsigned transmissions = 0;
    };

    /// Place of a member in the order in which hosts read the store.
    using reading_place = std::pair<bool, std::uint64_t>;

    [[nodiscard]] static reading_place reading_place_of(const member& one);
    [[nodiscard]] std::size_t local_count() const;
    void declare_dead(record& one, instant now);
    void refute(const member& received);
    [[nodiscard]] unsigned transmission_limit() const;

    member self;
    std::map<peer_address, record> records;
    peer_address last_probed;
    peer_address last_remote_probed;
    std::uint64_t rounds = 0;
    instant dead_probe_at{};
    instant store_loss_at{};
    std::vector<member> changes;
};

} // namespace basilpath
