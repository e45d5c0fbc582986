#include "node/version/route_table.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

// Gives parts whose weights are all zero equal shares. Such weights define no
// split, but without the route its callers would get no answer.
void balance(std::vector<split_part>& parts)
{
    const bool any = std::ranges::any_of(parts, [](const split_part& one)
                                         { return one.weight > 0; });
    if (!any)
    {
        std::ranges::for_each(parts, [](split_part& one) { one.weight = 1.0; });
    }
}

} // namespace

route_table::route_table(document_number version, std::vector<route> routes,
                         std::map<service_name, service_rule> services,
                         caller_limits limits)
    : number(version), routes(std::move(routes)), services(std::move(services)),
      bounds(limits)
{
    for (route& one : this->routes)
    {
        balance(one.parts);
        this->by_host[one.host].push_back(&one);
        for (const service_name& shard : one.gather.shards)
        {
            this->first_shards.emplace(shard, one.gather.shards.front());
        }
    }
    for (auto& [host, list] : this->by_host)
    {
        std::ranges::stable_sort(list, std::ranges::greater{},
                                 [](const route* one)
                                 { return one->prefix.size(); });
    }
    for (const service_name& name : this->shard_services())
    {
        const service_rule* const rule = this->service(name);
        const bool smaller =
            rule && (this->min_connection_limit == 0 ||
                     rule->connections < this->min_connection_limit);
        if (smaller)
        {
            this->min_connection_limit = rule->connections;
        }
    }
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const
{
    const auto of_host = this->by_host.find(host);
    if (of_host == this->by_host.end())
    {
        return nullptr;
    }
    const auto found =
        std::ranges::find_if(of_host->second, [path](const route* one)
                             { return path.starts_with(one->prefix); });
    return found == of_host->second.end() ? nullptr : *found;
}

std::set<service_name> route_table::shard_services() const
{
    std::set<service_name> names;
    for (const route& one : this->routes)
    {
        names.insert(one.gather.shards.begin(), one.gather.shards.end());
    }
    return names;
}

const service_name&
route_table::first_of_group(const service_name& service) const
{
    const auto found = this->first_shards.find(service);
    return found == this->first_shards.end() ? service : found->second;
}

const route* route_table::named(std::string_view name) const
{
    const auto found = std::ranges::find(this->routes, name, &route::name);
    return found == this->routes.end() ? nullptr : &*found;
}

const service_rule* route_table::service(const service_name& name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

} // namespace basilpath
