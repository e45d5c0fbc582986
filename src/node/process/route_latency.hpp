/// Latency of a route's calls.
#pragma once

#include "version/ids.hpp"

namespace basilpath
{

/// Recent latencies of a route's calls to replicas.
struct route_latency
{
    microseconds usual{0};

    /// A call that takes longer than this is likely a straggler.
    microseconds slow{0};

    /// Mean size of an answer's body in bytes; zero before the first answer.
    double answer_bytes = 0;
};

} // namespace basilpath
