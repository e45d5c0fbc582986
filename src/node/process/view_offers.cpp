#include "node/process/view_offers.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

namespace basilpath
{

void view_offers::note(const peer_address& from, store_position offered,
                       instant usable_at)
{
    const auto [found, added] =
        this->offers.try_emplace(from, offer{offered, usable_at});
    if (!added)
    {
        found->second.position = std::max(found->second.position, offered);
    }
}

void view_offers::defer(const peer_address& from, store_position offered,
                        instant until)
{
    this->note(from, offered, until);
    this->offers[from].usable_at = until;
}

std::optional<instant> view_offers::next_time(store_position held)
{
    std::erase_if(this->offers, [held](const auto& one)
                  { return one.second.position <= held; });
    if (this->offers.empty())
    {
        return std::nullopt;
    }
    return std::ranges::min_element(this->offers, {},
                                    [](const auto& one)
                                    { return one.second.usable_at; })
        ->second.usable_at;
}

std::optional<view_offers::taken_offer> view_offers::take(instant now,
                                                          std::uint64_t random)
{
    std::vector<std::map<peer_address, offer>::const_iterator> usable;
    for (auto one = this->offers.cbegin(); one != this->offers.cend(); ++one)
    {
        if (one->second.usable_at <= now)
        {
            usable.push_back(one);
        }
    }
    if (usable.empty())
    {
        return std::nullopt;
    }
    const auto chosen = usable[random % usable.size()];
    const taken_offer result{chosen->first, chosen->second.position};
    this->offers.erase(chosen);
    return result;
}

} // namespace basilpath
