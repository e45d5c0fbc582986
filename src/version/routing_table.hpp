/// Owners of every shard of an index version, computed once per state.
#pragma once

#include "version/ownership.hpp"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace basilpath
{

struct index_version;
struct system_state;

/// The rankings of one index version; element `i` belongs to shard `i`. Hosts
/// point into the host list of the state it was computed from.
struct version_routes
{
    std::vector<owner_ranking> shards;
};

/// Keeps the routes of the versions in use under one state.
class routing_table
{
public:
    /// Returns the routes of a version under a state. The result is good as
    /// long as the state is held.
    std::shared_ptr<const version_routes>
    routes(const std::shared_ptr<const system_state>& state,
           const service& wanted, const index_version& version);

private:
    using version_key = std::pair<service_name, version_number>;

    std::shared_ptr<const system_state> computed_from;
    std::map<version_key, std::shared_ptr<const version_routes>> computed;
};

} // namespace basilpath
