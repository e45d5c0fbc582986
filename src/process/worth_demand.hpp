/// How many places the requests of each worth need, going by what came lately.
#pragma once

#include "version/ids.hpp"

#include <cstddef>
#include <map>

namespace basilpath
{

/// Counts arrivals by worth with a short memory, and how long a request takes.
/// Times are those of one monotonic clock.
class worth_demand
{
public:
    /// Notes that a request came, admitted or not.
    void arrived(worth value, microseconds now);

    /// Notes how long a request was in progress.
    void took(microseconds time);

    /// Places that requests of more worth than `value` will need (arrival rate
    /// times the time in progress).
    [[nodiscard]] std::size_t places_above(worth value, microseconds now);

private:
    /// Arrivals of one worth, fading with time.
    struct arrivals
    {
        double count = 0.0;
        microseconds as_of{0};
    };

    std::map<worth, arrivals> by_worth;
    double smoothed_took = 0.0;
};

} // namespace basilpath
