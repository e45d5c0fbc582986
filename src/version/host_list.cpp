#include "version/host_list.hpp"

#include "version/ip_address.hpp"
#include "version/key_table.hpp"
#include "version/list_section.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace basilpath
{

namespace
{

// Adds a key that takes an address; every host has all of them.
void add_address(key_table& keys, const char* key, std::string* target)
{
    keys.address(key, target);
    keys.require(key);
}

// Reads `[host ID]`.
void read_host(const ini_section& section, host_list& list,
               std::vector<document_fault>& faults)
{
    host one;
    one.id = host_id(section.name);
    key_table keys;
    keys.identifier("region", &one.region.value);
    keys.identifier("domain", &one.domain.value);
    keys.require("region");
    keys.require("domain");
    add_address(keys, "callers", &one.callers.value);
    add_address(keys, "entry", &one.entry.value);
    add_address(keys, "relay", &one.relay.value);
    add_address(keys, "agent", &one.agent.value);
    keys.choice("state", {"live", "leaving"},
                [&one](std::size_t index) { one.leaving = index == 1; });
    keys.require("state");
    keys.read(section, faults);
    if (!is_identifier(section.name))
    {
        faults.push_back(
            {section.line, fmt::format("[host {}]: the name takes {}",
                                       section.name, identifier_accepts)});
    }
    list.hosts.push_back(std::move(one));
}

// Returns the id that stands twice in a sorted list, if there is one.
std::string repeated_host(const host_list& list)
{
    const auto found = std::ranges::adjacent_find(list.hosts, {}, &host::id);
    return found == list.hosts.end() ? "" : found->id.value;
}

} // namespace

std::shared_ptr<const host_list> parse_host_list(std::string_view bytes,
                                                 std::string* reason)
{
    auto list = std::make_shared<host_list>();
    const auto read =
        [&](const ini_section& section, std::vector<document_fault>& faults)
    {
        if (section.kind != "host")
        {
            return false;
        }
        read_host(section, *list, faults);
        return true;
    };
    if (!read_list(bytes, "hosts", &list->revision, read, reason))
    {
        return nullptr;
    }
    std::ranges::sort(list->hosts, {}, &host::id);
    if (const std::string id = repeated_host(*list); !id.empty())
    {
        *reason = fmt::format("host {} is given twice", id);
        return nullptr;
    }
    return list;
}

} // namespace basilpath
