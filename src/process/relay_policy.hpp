/// Which policies a relay follows; the `[policy]` section of its settings.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

/// Everything that an experiment may switch.
struct relay_policy
{
    /// Whether a second replica is asked when the first is late.
    bool hedge = true;

    /// Whether replicas that are slower than their peers are put aside.
    bool put_aside = true;

    /// How long results wait for others of the same query.
    microseconds gather_time{4'000};
};

} // namespace basilpath
