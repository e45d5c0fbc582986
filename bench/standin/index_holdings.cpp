#include "standin/index_holdings.hpp"

#include <algorithm>

namespace basilpath::standin
{

void index_holdings::assign(const std::set<held_shard>& named, time_point from,
                            time_point until)
{
    for (auto& [shard, held] : this->spans)
    {
        const bool kept = named.contains(shard);
        held.until = kept ? time_point::max() : std::min(held.until, until);
    }
    for (const held_shard& shard : named)
    {
        this->spans.try_emplace(shard, span{from, time_point::max()});
    }
}

bool index_holdings::empty() const
{
    return this->spans.empty();
}

bool index_holdings::holds(const held_shard& one, time_point now) const
{
    const auto found = this->spans.find(one);
    return found != this->spans.end() && found->second.from <= now &&
           now < found->second.until;
}

} // namespace basilpath::standin
