#include "version/routing_table.hpp"

#include "process/system_state.hpp"
#include "version/host_list.hpp"
#include "version/index_version.hpp"

#include <algorithm>
#include <iterator>

namespace basilpath
{

std::shared_ptr<const version_routes>
routing_table::routes(const std::shared_ptr<const system_state>& state,
                      const service& wanted, const index_version& version)
{
    if (state != this->computed_from)
    {
        this->computed.clear();
        this->computed_from = state;
    }
    auto& slot = this->computed[{version.service, version.number}];
    if (!slot)
    {
        const auto hosts =
            state->hosts
                ? hosts_of_service(wanted, *state->hosts, state->dead_hosts)
                : std::vector<const host*>{};
        auto fresh = std::make_shared<version_routes>();
        std::ranges::transform(
            version.shards, std::back_inserter(fresh->shards),
            [&hosts](const shard& one) { return rank_owners(one, hosts); });
        slot = std::move(fresh);
    }
    return slot;
}

} // namespace basilpath
