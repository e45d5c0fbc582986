/// The routes, services and limits of one version of the configuration.
#pragma once

#include "node/version/route.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// The configuration of a service.
struct service_rule
{
    std::string health_path;

    /// Most connections that one replica accepts from all hosts together.
    std::size_t connections = 0;

    /// Requests a second that a cold replica bears from all hosts together;
    /// zero when none is named.
    request_rate cold_rate{0};

    /// How long a replica is cold after its start.
    milliseconds cold_time{0};
};

/// Limits on the requests and connections of callers.
struct caller_limits
{
    std::uint32_t header_bytes = 16'384;
    std::uint64_t body_bytes = 262'144;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// One version of the configuration. It is immutable once in force; requests in
/// progress share its ownership.
class route_table
{
public:
    route_table(document_number version, std::vector<route> routes,
                std::map<service_name, service_rule> services,
                caller_limits limits);

    /// Returns the route of this host with the longest prefix of the path, or
    /// null.
    [[nodiscard]] const route* find(std::string_view host,
                                    std::string_view path) const;

    /// Returns the route of this name, or null.
    [[nodiscard]] const route* named(std::string_view name) const;

    /// Returns the configuration of a service, or null.
    [[nodiscard]] const service_rule* service(const service_name& name) const;

    /// Returns the smallest number of connections that a replica of some shard
    /// accepts from all hosts together; zero when none is configured.
    [[nodiscard]] std::size_t min_shard_connection_limit() const
    {
        return this->min_connection_limit;
    }

    /// Returns all services that serve a shard of some route.
    [[nodiscard]] std::set<service_name> shard_services() const;

    /// Returns the services that are called together with this one: the first
    /// shard of a query over shards, or the service itself.
    [[nodiscard]] const service_name&
    first_of_group(const service_name& service) const;

    [[nodiscard]] document_number version() const
    {
        return this->number;
    }

    [[nodiscard]] const caller_limits& limits() const
    {
        return this->bounds;
    }

    [[nodiscard]] std::size_t route_count() const
    {
        return this->routes.size();
    }

private:
    document_number number;
    std::vector<route> routes;

    /// Routes of each host, longest prefix first.
    std::map<std::string, std::vector<const route*>, std::less<>> by_host;

    std::map<service_name, service_rule> services;

    /// The first shard of the query that each shard belongs to.
    std::map<service_name, service_name> first_shards;

    caller_limits bounds;
    std::size_t min_connection_limit = 0;
};

} // namespace basilpath
