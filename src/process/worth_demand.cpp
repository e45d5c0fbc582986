#include "process/worth_demand.hpp"

#include <cmath>

namespace basilpath
{

namespace
{

constexpr double memory_us = 300'000.0;
constexpr double took_smoothing = 0.1;

// Returns what is left of a count after a time.
double faded(double count, microseconds since, microseconds now)
{
    const auto passed = static_cast<double>((now - since).count());
    return count * std::exp(-passed / memory_us);
}

} // namespace

void worth_demand::arrived(worth value, microseconds now)
{
    arrivals& one = this->by_worth[value];
    one.count = faded(one.count, one.as_of, now) + 1.0;
    one.as_of = now;
}

void worth_demand::took(microseconds time)
{
    const auto sample = static_cast<double>(time.count());
    this->smoothed_took += took_smoothing * (sample - this->smoothed_took);
}

std::size_t worth_demand::places_above(worth value, microseconds now)
{
    double places = 0.0;
    for (auto one = this->by_worth.upper_bound(value);
         one != this->by_worth.end(); ++one)
    {
        const arrivals& lately = one->second;
        places += faded(lately.count, lately.as_of, now) / memory_us *
                  this->smoothed_took;
    }
    return static_cast<std::size_t>(places);
}

} // namespace basilpath
