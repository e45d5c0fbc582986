/// One host of the system, as the platform's host list names it.
#pragma once

#include "version/ids.hpp"

#include <cstdint>

namespace basilpath
{

/// A host and the addresses of the processes on it.
struct host
{
    host_id id;
    region_name region;
    failure_domain domain;
    http_address callers; ///< where `basilpath-entry` serves callers
    peer_address entry;   ///< where `basilpath-entry` hears other processes
    peer_address relay;   ///< where `basilpath-relay` hears other processes
    peer_address agent;   ///< where `basilpath-agent` hears other processes
    bool leaving = false;

    bool operator==(const host&) const = default;
};

} // namespace basilpath
