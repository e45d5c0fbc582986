#include "node/process/settled_demand.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Time within which an announcement reaches all hosts: some rounds of gossip.
constexpr microseconds propagation_time = 1'500ms;

} // namespace

void settled_demand::note(std::vector<host_demand> demands, instant now)
{
    this->announcements.push_back({now, std::move(demands)});
    while (this->announcements.size() > 1 &&
           now - this->announcements[1].at >= propagation_time)
    {
        this->announcements.pop_front();
    }
}

std::vector<host_demand> settled_demand::lowest() const
{
    if (this->announcements.empty())
    {
        return {};
    }
    std::vector<host_demand> lowest = this->announcements.back().demands;
    for (const announcement& one : this->announcements)
    {
        for (host_demand& demand : lowest)
        {
            const auto before = std::ranges::find(one.demands, demand.group,
                                                  &host_demand::group);
            if (before != one.demands.end())
            {
                demand.local = std::min(demand.local, before->local);
                demand.remote = std::min(demand.remote, before->remote);
            }
        }
    }
    return lowest;
}

} // namespace basilpath
