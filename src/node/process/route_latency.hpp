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

    /// Mean bytes of the body of an answer; zero before any has been seen.
    double answer_bytes = 0;
};

} // namespace basilpath
