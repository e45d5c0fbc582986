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

// Weight of one answer in the mean size: about the last fifty count.
constexpr double size_weight = 0.02;

// Quantiles are taken anew after this many calls.
constexpr unsigned update_calls = 32;

} // namespace

void route_latencies::note(const std::string& route, instant now,
                           microseconds latency, std::size_t bytes)
{
    statistics& one = this->routes[route];
    const auto size = static_cast<double>(bytes);
    one.mean_bytes =
        one.mean_bytes == 0
            ? size
            : one.mean_bytes + size_weight * (size - one.mean_bytes);
    one.recent.record(now, latency);
    if (one.since_update++ % update_calls != 0)
    {
        return;
    }
    const auto middle = one.recent.quantile(0.5);
    const auto slow = one.recent.quantile(straggler_quantile);
    if (middle && slow)
    {
        one.now = {*middle, *slow, one.mean_bytes};
    }
}

route_latency route_latencies::of(const std::string& route) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() ||
        found->second.now.usual == microseconds(0))
    {
        return {first_usual, first_slow, 0};
    }
    return found->second.now;
}

} // namespace basilpath
