/// The last registrations of replicas that were removed.
#pragma once

#include "node/process/leaving_notice.hpp"
#include "node/version/replica.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <map>
#include <optional>

namespace basilpath
{

/// Remembers removed replicas for a while. Needed when the store comes back
/// from a copy that still lists them.
class departed_replicas
{
public:
    /// `notice` is what the replica's answers said of its departure.
    void note(const replica& removed, instant now,
              const leaving_notice& notice = {});

    /// Returns the last registration of a replica, or nothing.
    [[nodiscard]] std::optional<replica> find(const leaf_id& id) const;

    /// Returns what a process said of its departure before it was removed. A
    /// process whose start is unknown has said nothing.
    [[nodiscard]] leaving_notice notice_of(const replica& listed) const;

    /// Removes what is too old for a copy of the store.
    void expire(instant now);

private:
    struct departure
    {
        replica last;
        instant at{};
        leaving_notice notice;
    };

    std::map<leaf_id, departure> departures;
};

} // namespace basilpath
