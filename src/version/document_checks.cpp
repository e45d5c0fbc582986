#include "version/document_checks.hpp"

#include "version/document_draft.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>
#include <set>

namespace basilpath
{

namespace
{

void add_fault(document_draft& draft, int line, std::string message)
{
    draft.faults.push_back({line, std::move(message)});
}

// Every class belongs to a service and can be served within its deadline.
void check_classes(document_draft& draft)
{
    for (const auto& [name, located] : draft.classes)
    {
        const request_class& one = located.value;
        if (!one.service.value.empty() && !draft.services.contains(one.service))
        {
            add_fault(draft, located.line,
                      fmt::format("class {}: there is no service {}",
                                  name.value, one.service.value));
        }
        if (one.objective_latency > one.deadline)
        {
            add_fault(draft, located.line,
                      fmt::format("class {}: objective_ms={} is more than "
                                  "deadline_ms={}",
                                  name.value, one.objective_latency.count(),
                                  one.deadline.count()));
        }
    }
}

// Every service has a version and a class, and executes on one shard only.
void check_services(document_draft& draft)
{
    std::set<service_name> with_class;
    for (const auto& [name, located] : draft.classes)
    {
        with_class.insert(located.value.service);
    }
    for (const auto& [name, located] : draft.services)
    {
        if (!draft.versions.contains(name))
        {
            add_fault(draft, located.line,
                      fmt::format("service {} has no version; a section "
                                  "[shards {}/VERSION] is wanted",
                                  name.value, name.value));
        }
        if (!with_class.contains(name))
        {
            add_fault(draft, located.line,
                      fmt::format("service {} has no class; a section [class "
                                  "NAME] with service={} is wanted",
                                  name.value, name.value));
        }
        if (located.value.accepts_execute &&
            located.value.kind != service_kind::lookup)
        {
            add_fault(draft, located.line,
                      fmt::format("service {}: accepts_execute=yes takes "
                                  "kind=lookup, so that one shard runs it",
                                  name.value));
        }
    }
}

// A leaf of a shard exists and holds one service only.
void check_leaf(const service_name& service, const located<shard>& one,
                const leaf_id& id, document_draft& draft)
{
    const auto number = one.value.number.value;
    const auto found = draft.leaves.find(id);
    if (found == draft.leaves.end())
    {
        add_fault(
            draft, one.line,
            fmt::format("shard {}: there is no leaf {}", number, id.value));
        return;
    }
    const service_name*& holder = found->second.holder;
    if (holder != nullptr && *holder != service)
    {
        add_fault(draft, one.line,
                  fmt::format("shard {}: leaf {} holds service {} already",
                              number, id.value, holder->value));
        return;
    }
    holder = &service;
}

// A shard has leaves, each once.
void check_shard(const service_name& service, const located<shard>& one,
                 document_draft& draft)
{
    const auto& leaves = one.value.leaves;
    if (leaves.empty())
    {
        add_fault(draft, one.line,
                  fmt::format("shard {} has no leaf", one.value.number.value));
    }
    for (auto id = leaves.begin(); id != leaves.end(); ++id)
    {
        if (std::find(leaves.begin(), id, *id) != id)
        {
            add_fault(draft, one.line,
                      fmt::format("shard {} names leaf {} twice",
                                  one.value.number.value, id->value));
        }
        check_leaf(service, one, *id, draft);
    }
}

// The shards of a version are numbered 0 to n-1, each once.
void check_numbers(const document_draft::shard_lines& version,
                   document_draft& draft)
{
    std::set<shard_number> seen;
    for (const located<shard>& one : version.value)
    {
        if (!seen.insert(one.value.number).second)
        {
            add_fault(
                draft, one.line,
                fmt::format("shard {} is given twice", one.value.number.value));
        }
    }
    if (seen.empty())
    {
        add_fault(draft, version.line, "the version has no shard");
        return;
    }
    std::uint32_t wanted = 0;
    for (const shard_number number : seen)
    {
        if (number.value != wanted)
        {
            add_fault(draft, version.line,
                      fmt::format("shard {} is missing; shards are numbered "
                                  "from 0 without a gap",
                                  wanted));
            return;
        }
        ++wanted;
    }
}

// Every version belongs to a service and is made of sound shards.
void check_versions(document_draft& draft)
{
    for (const auto& [name, versions] : draft.versions)
    {
        for (const auto& [number, shards] : versions)
        {
            if (!draft.services.contains(name))
            {
                add_fault(draft, shards.line,
                          fmt::format("there is no service {}", name.value));
            }
            check_numbers(shards, draft);
            for (const located<shard>& one : shards.value)
            {
                check_shard(name, one, draft);
            }
        }
    }
}

// Each of the hosts that may own a leaf can hold a connection to it.
void check_connections(document_draft& draft)
{
    for (const auto& [id, held] : draft.leaves)
    {
        const auto owner = held.holder == nullptr
                               ? draft.services.end()
                               : draft.services.find(*held.holder);
        if (owner == draft.services.end())
        {
            continue;
        }
        const std::uint32_t hosts = owner->second.value.owner_hosts;
        const std::uint32_t connections = held.value.connections;
        if (connections < hosts)
        {
            add_fault(draft, held.line,
                      fmt::format("leaf {}: connections={} is less than "
                                  "owner_hosts={} of service {}, so not every "
                                  "owner could connect",
                                  id.value, connections, hosts,
                                  held.holder->value));
        }
    }
}

} // namespace

void check_draft(document_draft& draft)
{
    if (draft.deployment_line == 0)
    {
        add_fault(draft, 0, "there is no section [deployment]");
    }
    if (draft.services.empty())
    {
        add_fault(draft, 0, "there is no section [service NAME]");
    }
    check_classes(draft);
    check_services(draft);
    check_versions(draft);
    check_connections(draft);
}

} // namespace basilpath
