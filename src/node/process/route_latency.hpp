/// How long calls of a route take.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

/// What a route's calls to replicas have lately taken.
struct route_latency
{
    microseconds usual{0};

    /// A call that has taken longer than this is likely to be a straggler.
    microseconds slow{0};
};

} // namespace basilpath
