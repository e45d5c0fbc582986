/// The hosts that this host knows of.
#pragma once

#include "node/process/member.hpp"
#include "process/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace basilpath
{

/// Membership by direct probes and by what others tell. A member that does not
/// answer is asked again, then held for dead and told of, until it speaks for
/// itself again. Nothing of it outlives the process. Answers the load in which
/// machines die, freeze, are cut off or are replaced, many of them at once.
class member_list
{
public:
    member_list(member own, instant now);

    /// Takes a description that another host told. True when it is news.
    bool merge(const member& told, instant now);

    /// A datagram of this member came, so that it lives.
    void note_alive(const peer_address& address, instant now);

    /// The members to probe now: the next in turn, those that did not answer
    /// the last probe, and now and then one that is held for dead. Members
    /// that have been silent for too long are held for dead first. A failure
    /// domain with enough members mostly watches itself, as bytes between
    /// domains cost.
    [[nodiscard]] std::vector<peer_address> probe(instant now);

    /// News to tell, those told least often first; each is told a number of
    /// times that grows with the logarithm of the size.
    [[nodiscard]] std::vector<member> gossip(std::size_t most);

    /// Changes the description of this host.
    void set_ready(bool ready);
    void set_leaving();

    [[nodiscard]] const member& own() const
    {
        return this->self;
    }

    /// Live members, this host first.
    [[nodiscard]] std::vector<member> live() const;

    /// What is known of another host, or null.
    [[nodiscard]] const member* find(const peer_address& address) const;

    /// Tells whether a member stands in another failure domain while this
    /// host's own has enough members to watch and to tell each other.
    [[nodiscard]] bool avoidable(const peer_address& address) const;

    /// Some members to tell of a change, most of them avoiding other domains.
    [[nodiscard]] std::vector<peer_address>
    listeners(std::size_t most, std::uint64_t random) const;

    /// Live members other than this host.
    [[nodiscard]] std::vector<peer_address> peers() const;

    /// Hosts that live or have lived until a short while ago: the number by
    /// which shared bounds are divided.
    [[nodiscard]] std::size_t share_count(instant now) const;

    /// The place of this host among the live in an order drawn by hashing.
    [[nodiscard]] std::size_t rank() const;

    /// Members whose state changed since the last call, for the log.
    [[nodiscard]] std::vector<member> take_changes();

private:
    /// What is known of another host.
    struct record
    {
        member described;
        instant last_heard{};
        instant probed_at{};
        unsigned unanswered = 0;
        instant died_at{};
        unsigned told = 0;
    };

    [[nodiscard]] std::size_t near_count() const;
    void declare_dead(record& one, instant now);
    void refute(const member& told);
    [[nodiscard]] unsigned tell_limit() const;

    member self;
    std::map<peer_address, record> records;
    peer_address last_probed;
    peer_address last_far_probed;
    std::uint64_t rounds = 0;
    instant dead_probe_at{};
    std::vector<member> changes;
};

} // namespace basilpath
