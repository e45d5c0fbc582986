/// What calls of each route have lately taken.
#pragma once

#include "node/process/route_latency.hpp"
#include "process/instant.hpp"
#include "process/latency_tracker.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace basilpath
{

/// Quantiles of the recent calls of each route, taken anew now and then. Tells
/// stragglers from calls that take as long as their kind does.
class route_latencies
{
public:
    /// A call of the route was answered with success, by a body of this size.
    void note(const std::string& route, instant now, microseconds latency,
              std::size_t bytes);

    /// What calls of the route take; a guess before any was answered.
    [[nodiscard]] route_latency of(const std::string& route) const;

private:
    struct statistics
    {
        latency_tracker recent;
        double mean_bytes = 0;
        route_latency now;
        unsigned since_update = 0;
    };

    std::map<std::string, statistics> routes;
};

} // namespace basilpath
