#include "connection/leaf_table.hpp"

#include "process/system_state.hpp"
#include "version/index_version.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

// Visits every leaf of a service with its share of the leaf's connections.
template <class Visit>
void visit_leaves(const document& all, const service& one, Visit visit)
{
    for (const auto& version : one.versions)
    {
        for (const shard& part : version->shards)
        {
            for (const leaf_id& id : part.leaves)
            {
                if (const leaf* found = all.find_leaf(id))
                {
                    visit(*found, found->connections / one.owner_hosts);
                }
            }
        }
    }
}

} // namespace

void leaf_table::apply(const system_state& state)
{
    if (!state.configuration)
    {
        return;
    }
    std::unordered_map<leaf_id, std::shared_ptr<leaf_state>> next;
    const auto take = [this, &next, &state](const leaf& described,
                                            std::uint32_t connection_limit)
    {
        auto& one = next[described.id];
        if (one)
        {
            return;
        }
        const auto known = this->leaves.find(described.id);
        one = known == this->leaves.end()
                  ? std::make_shared<leaf_state>(described.id)
                  : known->second;
        one->slots = described.slots;
        one->connection_limit = std::max(1U, connection_limit);
        one->leaving = state.leaving_leaves.contains(described.id);
        if (!state.targets)
        {
            return;
        }
        const auto target = state.targets->entries.find(described.id);
        if (target != state.targets->entries.end())
        {
            // A leaf that comes back at another address has been replaced.
            one->draining =
                one->draining && one->address == target->second.address;
            one->address = target->second.address;
            one->leaving = one->leaving || target->second.leaving;
        }
    };
    for (const auto& [name, one] : state.configuration->services)
    {
        visit_leaves(*state.configuration, one, take);
    }
    this->leaves = std::move(next);
}

std::vector<std::shared_ptr<leaf_state>>
leaf_table::replicas(const shard& of) const
{
    std::vector<std::shared_ptr<leaf_state>> found;
    found.reserve(of.leaves.size());
    for (const leaf_id& id : of.leaves)
    {
        const auto one = this->leaves.find(id);
        if (one != this->leaves.end() && one->second->open() &&
            !one->second->address.value.empty())
        {
            found.push_back(one->second);
        }
    }
    return found;
}

const std::unordered_map<leaf_id, std::shared_ptr<leaf_state>>&
leaf_table::all() const
{
    return this->leaves;
}

} // namespace basilpath
