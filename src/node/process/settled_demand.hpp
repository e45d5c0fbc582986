/// The part of this host's demand that has reached the other hosts.
#pragma once

#include "node/process/host_demand.hpp"
#include "process/instant.hpp"

#include <deque>
#include <vector>

namespace basilpath
{

/// Holds back a rise of demand until it has reached all hosts, which then count
/// it in the division of limits; a fall applies at once. Needed when a crowd
/// arrives at many hosts at the same time, each of which would otherwise take a
/// share before the others give theirs up.
class settled_demand
{
public:
    /// Records the demand announced at `now`, with an entry for each group of
    /// which a replica names a limit.
    void note(std::vector<host_demand> demands, instant now);

    /// Returns the lowest demand since the last announcement that has reached
    /// all hosts. That of a group whose limits have just been named applies at
    /// once.
    [[nodiscard]] std::vector<host_demand> lowest() const;

private:
    struct announcement
    {
        instant at{};
        std::vector<host_demand> demands;
    };

    /// Announcements, oldest first; the first one is the last that has reached
    /// all hosts.
    std::deque<announcement> announcements;
};

} // namespace basilpath
