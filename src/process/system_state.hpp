/// What a process knows of the system: configuration, targets and hosts.
#pragma once

#include "version/document.hpp"
#include "version/host_list.hpp"
#include "version/target_list.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <set>

namespace basilpath
{

/// One state of the system as the agent of this host last told it. Immutable;
/// a new state replaces the whole. Sessions hold the state they began with.
struct system_state
{
    /// The document in force; null until one has been accepted.
    std::shared_ptr<const document> configuration;

    /// Null until the platform or a peer has told it.
    std::shared_ptr<const target_list> targets;

    /// Null until the platform or a peer has told it.
    std::shared_ptr<const host_list> hosts;

    /// Hosts that the membership protocol holds for dead.
    std::set<host_id> dead_hosts;

    /// Hosts that are leaving according to any source.
    std::set<host_id> leaving_hosts;

    /// Leaves that are leaving according to any source.
    std::set<leaf_id> leaving_leaves;

    /// Fingerprints that are not attempted, with the end of the quarantine.
    std::map<fingerprint, std::chrono::steady_clock::time_point> quarantines;
};

} // namespace basilpath
