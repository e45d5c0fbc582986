#include "node/process/demand_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

namespace
{

// Time constant of the averages: long enough for a host with one call a second,
// short enough for a host whose callers have just arrived.
constexpr double decay_seconds = 3.0;

// A level is kept while the rate is within this many levels of it.
constexpr double level_hysteresis = 1.6;

double seconds_between(instant from, instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

void demand_meter::note(demand_group group, bool local, instant now)
{
    group_demand& demand = this->groups[group];
    (local ? demand.local : demand.remote).add(now);
}

std::vector<host_demand>
demand_meter::measure(const std::set<demand_group>& wanted, instant now)
{
    std::erase_if(this->groups,
                  [&](const auto& one)
                  {
                      const auto& [group, demand] = one;
                      return !wanted.contains(group) &&
                             exact_level(demand.local.current(now)) == 0 &&
                             exact_level(demand.remote.current(now)) == 0;
                  });
    std::vector<host_demand> result;
    for (const demand_group group : wanted)
    {
        group_demand& demand = this->groups[group];
        result.push_back({group, demand.local.update_level(now),
                          demand.remote.update_level(now)});
    }
    return result;
}

void demand_meter::average::add(instant now)
{
    this->rate = this->current(now).value + 1.0 / decay_seconds;
    this->at = now;
}

request_rate demand_meter::average::current(instant now) const
{
    return request_rate(
        this->rate * std::exp(-seconds_between(this->at, now) / decay_seconds));
}

demand_level demand_meter::average::update_level(instant now)
{
    const double exact = exact_level(this->current(now));
    const bool left = std::abs(exact - this->level) > level_hysteresis ||
                      (exact == 0) != (this->level == 0);
    if (left)
    {
        this->level = static_cast<demand_level>(
            std::clamp(std::round(exact), 0.0, 255.0));
    }
    return this->level;
}

} // namespace basilpath
