#include "node/process/route_latencies.hpp"

namespace basilpath
{

namespace
{

// Latencies assumed before the first answer.
constexpr microseconds initial_usual{10'000};
constexpr microseconds initial_slow{30'000};

// Share of the calls of a route that are not stragglers.
constexpr double straggler_quantile = 0.92;

// Weight of a new answer in the mean size, which covers about the last fifty.
constexpr double size_ewma_weight = 0.02;

// Number of calls between updates of the quantiles.
constexpr unsigned update_calls = 32;

} // namespace

void route_latencies::record_call(const std::string& route, instant now,
                                  microseconds latency, std::size_t bytes)
{
    statistics& one = this->routes[route];
    const auto size = static_cast<double>(bytes);
    one.mean_bytes =
        one.mean_bytes == 0
            ? size
            : one.mean_bytes + size_ewma_weight * (size - one.mean_bytes);
    one.recent.record(now, latency);
    if (one.calls_since_update++ % update_calls != 0)
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
        return {initial_usual, initial_slow, 0};
    }
    return found->second.now;
}

} // namespace basilpath
