#include "node/process/slack_division.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Fractions of the slack that the serving hosts and all hosts divide. The other
// half is left for the processes that follow on those that have spent a share.
constexpr double serving_fraction = 0.45;
constexpr double common_fraction = 0.05;

// A host that served counts for this many windows: the repeats that it spent
// count for one, and hosts that no longer reach it notice within the other.
constexpr int windows_counted = 2;

// How long a host that served counts while most of those cannot be reached.
constexpr microseconds unreachable_counted = 120s;

} // namespace

slack_division::slack_division(http_address own, instant started)
    : own(std::move(own)), started(started)
{
}

void slack_division::update(std::size_t live,
                            const std::set<http_address>& serving,
                            microseconds window, instant now)
{
    for (const http_address& one : serving)
    {
        this->last_served[one] = now;
    }
    std::erase_if(this->last_served, [now](const auto& one)
                  { return now - one.second > unreachable_counted; });
    const bool most_unreachable = serving.size() * 2 < this->last_served.size();
    this->counted = this->count_served_since(
        now -
        (most_unreachable ? unreachable_counted : window * windows_counted));
    double share =
        common_fraction / static_cast<double>(std::max<std::size_t>(live, 1));
    if (serving.contains(this->own))
    {
        share += serving_fraction / static_cast<double>(this->counted);
    }
    const auto age = static_cast<double>((now - this->started).count());
    const double grown =
        age / static_cast<double>(std::max(window, microseconds(1)).count());
    this->current_share = share * std::clamp(grown, 0.0, 1.0);
}

// Returns how many hosts have been among the serving ones at this time or
// later.
std::size_t slack_division::count_served_since(instant earliest) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->last_served, [earliest](const auto& one)
                              { return one.second >= earliest; }));
}

} // namespace basilpath
