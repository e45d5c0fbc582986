/// What hosts tell each other about a host.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <string>

namespace basilpath
{

/// How a member fares; of two with the same counter the later one here holds.
enum class member_state : std::uint8_t
{
    alive,
    leaving, ///< it serves what it has, callers should not come any more
    dead
};

/// One host as its process described it. A description with a larger counter
/// replaces one with a smaller; a process that hears a description of its
/// address that is not its own raises its counter above it.
struct member
{
    peer_address address;
    std::uint64_t counter = 0;
    member_state state = member_state::alive;

    /// Drawn at random when the process starts.
    incarnation start;

    failure_domain domain;

    /// Where callers connect.
    http_address callers;

    /// Where it takes subqueries of other hosts; empty for nowhere.
    peer_address links;

    /// It has a configuration and can serve.
    bool ready = false;

    /// Share of a core that the host has.
    double processor_share = 1.0;

    /// Bandwidth of the host's link in Mbit/s.
    double link_mbps = 1000.0;

    /// Whether this description replaces `other`.
    [[nodiscard]] bool newer_than(const member& other) const
    {
        return this->counter != other.counter ? this->counter > other.counter
                                              : this->state > other.state;
    }
};

} // namespace basilpath
