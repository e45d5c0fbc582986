/// All replicas, by id and by service.
#pragma once

#include "node/process/placement.hpp"
#include "node/version/replica.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <vector>

namespace basilpath
{

/// Holds entries, each with a `target`, its `health`, a `delisted` flag and a
/// `notice`.
template <class Entry>
class replica_list
{
public:
    using pointer = std::shared_ptr<Entry>;

    /// Returns the entry with this id, or null.
    [[nodiscard]] pointer find(const leaf_id& id) const
    {
        const auto found = this->by_id.find(id);
        return found == this->by_id.end() ? nullptr : found->second;
    }

    /// Returns the replicas of a service.
    [[nodiscard]] std::span<const pointer> of(const service_name& service) const
    {
        const auto found = this->by_service.find(service);
        return found == this->by_service.end()
                   ? std::span<const pointer>{}
                   : std::span<const pointer>(found->second);
    }

    /// Returns the replicas of a service as candidates for placement.
    [[nodiscard]] std::vector<candidate> candidates(const service_name& service,
                                                    instant now) const
    {
        std::vector<candidate> result;
        std::ranges::transform(
            this->of(service), std::back_inserter(result),
            [now](const pointer& one)
            {
                return candidate{
                    &one->target,          &one->health,
                    one->delisted,         one->limit ? &*one->limit : nullptr,
                    one->waiting.size(),   one->evacuated,
                    one->notice.phase(now)};
            });
        return result;
    }

    /// Returns the failure domains of the replicas of these services.
    [[nodiscard]] std::set<failure_domain>
    domains(const std::set<service_name>& services) const
    {
        std::set<failure_domain> result;
        for (const service_name& service : services)
        {
            for (const pointer& one : this->of(service))
            {
                result.insert(one->target.domain);
            }
        }
        return result;
    }

    /// Returns all entries by id.
    [[nodiscard]] const std::map<leaf_id, pointer>& all() const
    {
        return this->by_id;
    }

    /// Adds an entry whose id is not in the list.
    void add(const pointer& one)
    {
        this->by_id[one->target.id] = one;
        this->by_service[one->target.service].push_back(one);
    }

    void remove(const pointer& one)
    {
        std::erase(this->by_service[one->target.service], one);
        this->by_id.erase(one->target.id);
    }

private:
    std::map<leaf_id, pointer> by_id;
    std::map<service_name, std::vector<pointer>> by_service;
};

} // namespace basilpath
