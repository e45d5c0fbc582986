/// Recent latencies of the calls of each route.
#pragma once

#include "node/process/route_latency.hpp"
#include "process/instant.hpp"
#include "process/latency_tracker.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace basilpath
{

/// Quantiles of the recent calls of each route, updated periodically. They
/// separate stragglers from calls that always take long.
class route_latencies
{
public:
    /// Records a successful call and the size of its answer's body.
    void record_call(const std::string& route, instant now,
                     microseconds latency, std::size_t bytes);

    /// Returns the latencies of a route; defaults before its first answer.
    [[nodiscard]] route_latency of(const std::string& route) const;

private:
    struct statistics
    {
        latency_tracker recent;
        double mean_bytes = 0;
        route_latency now;
        unsigned calls_since_update = 0;
    };

    std::map<std::string, statistics> routes;
};

} // namespace basilpath
