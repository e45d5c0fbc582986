/// The description of a host that hosts exchange.
#pragma once

#include "node/process/host_demand.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace basilpath
{

/// State of a member. Of two descriptions with the same counter, the one whose
/// state is listed later here wins.
enum class member_state : std::uint8_t
{
    alive,
    leaving, ///< drains: still serves, callers should use other hosts
    dead
};

/// Describes one host, as sent by its process. A description with a larger
/// counter replaces one with a smaller. A process that receives a description
/// of its address that it did not send raises its counter above it.
struct member
{
    peer_address address;
    std::uint64_t counter = 0;
    member_state state = member_state::alive;

    /// Drawn at random when the process starts.
    incarnation start;

    failure_domain domain;

    /// Address at which callers connect.
    http_address callers;

    /// Address at which the host accepts subqueries of other hosts; empty if it
    /// accepts none.
    peer_address links;

    /// Whether the host has a configuration and can serve.
    bool ready = false;

    /// Whether the host has lately failed to read the store.
    bool store_lost = false;

    /// CPU share of the host, in cores.
    double processor_share = 1.0;

    /// Bandwidth of the host's link in Mbit/s.
    double link_mbps = 1000.0;

    /// Demand for services of which a replica names a limit, in the order of
    /// the groups.
    std::vector<host_demand> demands;

    /// Returns whether this description replaces `other`.
    [[nodiscard]] bool newer_than(const member& other) const
    {
        return this->counter != other.counter ? this->counter > other.counter
                                              : this->state > other.state;
    }
};

} // namespace basilpath
