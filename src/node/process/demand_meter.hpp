/// Measures how much this host calls the services of each group.
#pragma once

#include "node/process/host_demand.hpp"
#include "process/instant.hpp"

#include <map>
#include <set>
#include <vector>

namespace basilpath
{

/// Moving averages of the rate of calls, including calls that could not be made
/// because replicas are at their limits.
class demand_meter
{
public:
    /// Counts a call to a replica of the group.
    void note(demand_group group, bool local, instant now);

    /// Returns the demand for each of these groups. A level changes only when
    /// the rate has clearly left it, so that steady demand causes no messages.
    [[nodiscard]] std::vector<host_demand>
    measure(const std::set<demand_group>& groups, instant now);

private:
    /// A rate that decays while no call is counted.
    struct average
    {
        double rate = 0;
        instant at{};
        demand_level level = 0;

        void add(instant now);
        [[nodiscard]] request_rate current(instant now) const;
        demand_level update_level(instant now);
    };

    struct group_demand
    {
        average local;
        average remote;
    };

    std::map<demand_group, group_demand> groups;
};

} // namespace basilpath
