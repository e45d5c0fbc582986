#include "node/process/route_latencies.hpp"

namespace basilpath
{

namespace
{

// What a call is taken to last before any has been seen.
constexpr microseconds first_usual{10'000};
constexpr microseconds first_slow{30'000};

// Share of the calls of a route that are not stragglers.
constexpr double straggler_quantile = 0.92;

// Quantiles are taken anew after this many calls.
constexpr unsigned update_calls = 32;

} // namespace

void route_latencies::note(const std::string& route, instant now,
                           microseconds latency)
{
    statistics& one = this->routes[route];
    one.recent.record(now, latency);
    if (one.since_update++ % update_calls != 0)
    {
        return;
    }
    const auto middle = one.recent.quantile(0.5);
    const auto slow = one.recent.quantile(straggler_quantile);
    if (middle && slow)
    {
        one.now = {*middle, *slow};
    }
}

route_latency route_latencies::of(const std::string& route) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() ||
        found->second.now.usual == microseconds(0))
    {
        return {first_usual, first_slow};
    }
    return found->second.now;
}

} // namespace basilpath
