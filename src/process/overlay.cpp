#include "process/overlay.hpp"

#include "version/host_list.hpp"
#include "version/value_sections.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace
{

// Place of a host on one ring, or its rank in a failure domain.
std::uint64_t place_of(std::string_view ring, const host_id& id)
{
    return content_digest(fmt::format("{} {}", ring, id.value));
}

} // namespace

overlay::overlay(host_id own) : own(std::move(own)), own_places()
{
    for (std::size_t ring = 0; ring < ring_count; ++ring)
    {
        this->own_places[ring] = place_of(fmt::to_string(ring), this->own);
    }
}

void overlay::set_hosts(std::shared_ptr<const host_list> hosts)
{
    this->list = std::move(hosts);
    this->places.clear();
    this->index.clear();
    if (!this->list)
    {
        return;
    }
    for (const host& one : this->list->hosts)
    {
        ring_places all{};
        for (std::size_t ring = 0; ring < ring_count; ++ring)
        {
            all[ring] = place_of(fmt::to_string(ring), one.id);
        }
        this->index.emplace(one.id, this->places.size());
        this->places.push_back(all);
    }
}

std::vector<neighbour> overlay::neighbours(const std::set<host_id>& dead) const
{
    // Nearest host forwards and backwards on one ring so far.
    struct nearest
    {
        std::uint64_t distance = UINT64_MAX;
        std::optional<std::size_t> host;
    };
    std::array<nearest, ring_count> after;
    std::array<nearest, ring_count> before;
    for (std::size_t i = 0; i < this->places.size(); ++i)
    {
        const host& one = this->list->hosts[i];
        if (one.id == this->own || dead.contains(one.id))
        {
            continue;
        }
        for (std::size_t ring = 0; ring < ring_count; ++ring)
        {
            // Distances wrap around the ring.
            const std::uint64_t ahead =
                this->places[i][ring] - this->own_places[ring];
            const std::uint64_t behind = 0 - ahead;
            if (ahead < after[ring].distance)
            {
                after[ring] = {ahead, i};
            }
            if (behind < before[ring].distance)
            {
                before[ring] = {behind, i};
            }
        }
    }
    std::map<host_id, neighbour> chosen;
    const auto choose = [&](const nearest& one, bool observed)
    {
        if (one.host)
        {
            const host& found = this->list->hosts[*one.host];
            neighbour& entry = chosen[found.id];
            entry = {found.id, found.agent, entry.observed || observed};
        }
    };
    std::ranges::for_each(after, [&](const auto& one) { choose(one, true); });
    std::ranges::for_each(before, [&](const auto& one) { choose(one, false); });
    const auto values = chosen | std::views::values;
    return {values.begin(), values.end()};
}

bool overlay::is_watcher(const std::set<host_id>& dead,
                         const std::set<host_id>& leaving) const
{
    const host* const self = this->find(this->own);
    if (self == nullptr)
    {
        return false;
    }
    const std::uint64_t own_rank = place_of("watch", this->own);
    const auto goes_first = [&](const host& one)
    {
        return one.domain == self->domain && one.id != this->own &&
               !one.leaving && !dead.contains(one.id) &&
               !leaving.contains(one.id) &&
               place_of("watch", one.id) < own_rank;
    };
    return static_cast<std::size_t>(std::ranges::count_if(
               this->list->hosts, goes_first)) < watcher_count;
}

const host* overlay::find(const host_id& id) const
{
    const auto found = this->index.find(id);
    return found == this->index.end() ? nullptr
                                      : &this->list->hosts[found->second];
}

std::shared_ptr<const host_list> overlay::hosts() const
{
    return this->list;
}

} // namespace basilpath
