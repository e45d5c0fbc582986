/// The last registrations of replicas that were removed.
#pragma once

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
    void note(const replica& removed, instant now);

    /// Returns the last registration of a replica, or nothing.
    [[nodiscard]] std::optional<replica> find(const leaf_id& id) const;

    /// Removes what is too old for a copy of the store.
    void expire(instant now);

private:
    struct departure
    {
        replica last;
        instant at{};
    };

    std::map<leaf_id, departure> departures;
};

} // namespace basilpath
