#include "version/document_sections.hpp"

#include "version/document_draft.hpp"
#include "version/ini_section.hpp"
#include "version/key_table.hpp"
#include "version/number.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

namespace basilpath
{

namespace
{

constexpr std::uint64_t largest_number =
    std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t largest_item_limit = 100'000;
constexpr std::uint64_t largest_owner_hosts = 10'000;
constexpr std::uint64_t largest_deadline_ms = 600'000;
constexpr std::uint64_t largest_slots = 10'000;
constexpr std::uint64_t largest_connections = 1'000'000;
constexpr std::uint64_t largest_connect_us = 10'000'000;
constexpr std::uint64_t largest_shard = 99'999;
constexpr double largest_hedge_share = 0.5;
constexpr double least_worth = 0.001;
constexpr double largest_worth = 1e6;
constexpr double least_objective_share = 0.5;
constexpr double largest_objective_share = 0.999999;
constexpr double least_weight = 1e-9;
constexpr double largest_weight = 1e9;

void add_fault(document_draft& draft, int line, std::string message)
{
    draft.faults.push_back({line, std::move(message)});
}

// Checks the name in a header; adds a fault when it is no identifier.
bool check_name(const ini_section& section, document_draft& draft)
{
    if (is_identifier(section.name))
    {
        return true;
    }
    add_fault(draft, section.line,
              fmt::format("[{} {}]: the name takes {}", section.kind,
                          section.name, identifier_accepts));
    return false;
}

// Puts a section into its map; adds a fault when its name stands there.
template <class Map, class Value>
void insert_section(const ini_section& section, Map& map,
                    const typename Map::key_type& key, Value value,
                    document_draft& draft)
{
    const auto [found, inserted] = map.try_emplace(
        key, typename Map::mapped_type{section.line, std::move(value)});
    if (!inserted)
    {
        add_fault(draft, section.line,
                  fmt::format("[{} {}] is given twice, first on line {}",
                              section.kind, section.name, found->second.line));
    }
}

// Reads `[deployment]`: the name and the number of the document.
void read_deployment(const ini_section& section, document_draft& draft)
{
    if (draft.deployment_line != 0)
    {
        add_fault(draft, section.line,
                  fmt::format("[deployment] is given twice, first on line {}",
                              draft.deployment_line));
        return;
    }
    draft.deployment_line = section.line;
    key_table keys;
    keys.identifier("name", &draft.deployment);
    keys.integer("version", 1, largest_number,
                 [&](std::uint64_t number)
                 { draft.number = document_number(number); });
    keys.require("name");
    keys.require("version");
    keys.read(section, draft.faults);
}

// Reads `[service NAME]`.
void read_service(const ini_section& section, document_draft& draft)
{
    service one;
    one.name = service_name(section.name);
    key_table keys;
    keys.choice("kind", {"fanout", "lookup"},
                [&](std::size_t index)
                { one.kind = static_cast<service_kind>(index); });
    keys.choice("merge", {"concatenate", "top"},
                [&](std::size_t index)
                { one.merge = static_cast<merge_rule>(index); });
    keys.integer("item_limit", 1, largest_item_limit,
                 [&](std::uint64_t limit)
                 { one.item_limit = static_cast<std::uint32_t>(limit); });
    keys.choice("accepts_execute", {"no", "yes"},
                [&](std::size_t index) { one.accepts_execute = index == 1; });
    keys.number("hedge_share", 0.0, largest_hedge_share, &one.hedge_share);
    keys.number("retry_share", 0.0, 1.0, &one.retry_share);
    keys.integer("owner_hosts", 1, largest_owner_hosts,
                 [&](std::uint64_t hosts)
                 { one.owner_hosts = static_cast<std::uint32_t>(hosts); });
    keys.require("kind");
    keys.read(section, draft.faults);
    if (check_name(section, draft))
    {
        const service_name name = one.name;
        insert_section(section, draft.services, name, std::move(one), draft);
    }
}

// Reads `[class NAME]`.
void read_class(const ini_section& section, document_draft& draft)
{
    request_class one;
    one.name = class_name(section.name);
    const auto to_duration = [](milliseconds& target)
    {
        return [&target](std::uint64_t count)
        {
            target = milliseconds(static_cast<std::int64_t>(count));
        };
    };
    key_table keys;
    keys.identifier("service", &one.service.value);
    keys.number("worth", least_worth, largest_worth, &one.value.value);
    keys.integer("deadline_ms", 1, largest_deadline_ms,
                 to_duration(one.deadline));
    keys.number("least_coverage", 0.0, 1.0, &one.least_coverage.value);
    keys.integer("objective_ms", 1, largest_deadline_ms,
                 to_duration(one.objective_latency));
    keys.number("objective_share", least_objective_share,
                largest_objective_share, &one.objective_share);
    for (const char* key : {"service", "worth", "deadline_ms", "objective_ms"})
    {
        keys.require(key);
    }
    keys.read(section, draft.faults);
    if (check_name(section, draft))
    {
        const class_name name = one.name;
        insert_section(section, draft.classes, name, std::move(one), draft);
    }
}

// Says which settings of a leaf a section or a line may give.
key_table leaf_keys(leaf& target)
{
    key_table keys;
    keys.integer("slots", 1, largest_slots,
                 [&target](std::uint64_t slots)
                 { target.slots = static_cast<std::uint32_t>(slots); });
    keys.integer("connections", 1, largest_connections,
                 [&target](std::uint64_t connections) {
                     target.connections =
                         static_cast<std::uint32_t>(connections);
                 });
    keys.integer("connect_us", 0, largest_connect_us,
                 [&target](std::uint64_t time) {
                     target.connect_time =
                         microseconds(static_cast<std::int64_t>(time));
                 });
    return keys;
}

// Reads one line `LEAF = DOMAIN [slots=…] [connections=…] [connect_us=…]`.
void read_leaf(const ini_line& line, leaf one, document_draft& draft)
{
    const auto words = split_words(line.value);
    if (!is_identifier(line.key))
    {
        add_fault(draft, line.line,
                  fmt::format("leaf {}: the name takes {}", line.key,
                              identifier_accepts));
        return;
    }
    if (words.empty() || !is_identifier(words.front()))
    {
        add_fault(draft, line.line,
                  fmt::format("leaf {}: a failure domain is wanted first, {}",
                              line.key, identifier_accepts));
        return;
    }
    one.id = leaf_id(line.key);
    one.domain = failure_domain(std::string(words.front()));
    if (words.size() > 1)
    {
        leaf_keys(one).read_words(line.line, std::span(words).subspan(1),
                                  draft.faults);
    }
    // Leaves mostly come in order, so the end is a good guess.
    const std::size_t before = draft.leaves.size();
    const leaf_id id = one.id;
    const auto found = draft.leaves.try_emplace(
        draft.leaves.end(), id, leaf_draft{line.line, std::move(one)});
    if (draft.leaves.size() == before)
    {
        add_fault(draft, line.line,
                  fmt::format("leaf {} is given twice, first on line {}",
                              line.key, found->second.line));
    }
}

// Reads `[leaves GROUP]`: the settings that the leaves of the group share,
// wherever they stand in the section, and a line for each leaf.
void read_leaves(const ini_section& section, document_draft& draft)
{
    check_name(section, draft);
    leaf shared;
    const key_table keys = leaf_keys(shared);
    std::vector<ini_line> settings;
    std::ranges::copy_if(section.lines, std::back_inserter(settings),
                         [&](const ini_line& line)
                         { return keys.knows(line.key); });
    ini_section shared_section = section;
    shared_section.lines = settings;
    keys.read(shared_section, draft.faults);
    for (const ini_line& line : section.lines)
    {
        if (!keys.knows(line.key))
        {
            read_leaf(line, shared, draft);
        }
    }
}

// Reads one line `NUMBER = LEAF… [weight=W]` into the shards.
void read_shard(const ini_line& line, std::vector<located<shard>>& shards,
                document_draft& draft)
{
    const auto number =
        to_number<std::uint64_t>(line.key, std::uint64_t{0}, largest_shard);
    if (!number)
    {
        add_fault(draft, line.line,
                  fmt::format("unknown key {}; a shard takes a whole number "
                              "from 0 to {}",
                              line.key, largest_shard));
        return;
    }
    shard one;
    one.number = shard_number(static_cast<std::uint32_t>(*number));
    const auto words = split_words(line.value);
    const auto options = std::ranges::find_if(
        words, [](std::string_view word)
        { return word.find('=') != std::string_view::npos; });
    std::transform(words.begin(), options, std::back_inserter(one.leaves),
                   [](std::string_view word)
                   { return leaf_id(std::string(word)); });
    if (options != words.end())
    {
        key_table keys;
        keys.number("weight", least_weight, largest_weight, &one.weight);
        keys.read_words(line.line, {options, words.end()}, draft.faults);
    }
    shards.push_back({line.line, std::move(one)});
}

// Reads `[shards SERVICE/VERSION]`.
void read_shards(const ini_section& section, document_draft& draft)
{
    const auto slash = section.name.find('/');
    const std::string name = section.name.substr(0, slash);
    const auto version =
        slash == std::string::npos
            ? std::nullopt
            : to_number<std::uint64_t>(section.name.substr(slash + 1),
                                       std::uint64_t{1}, largest_number);
    if (!is_identifier(name) || !version)
    {
        add_fault(draft, section.line,
                  fmt::format("[shards {}] is not accepted; it takes "
                              "SERVICE/VERSION with a whole version from 1",
                              section.name));
        return;
    }
    std::vector<located<shard>> shards;
    shards.reserve(section.lines.size());
    for (const ini_line& line : section.lines)
    {
        read_shard(line, shards, draft);
    }
    insert_section(section, draft.versions[service_name(name)],
                   version_number(*version), std::move(shards), draft);
}

/// A kind of section and what reads it.
struct section_kind
{
    std::string_view name;
    void (*read)(const ini_section&, document_draft&);
};

constexpr std::array<section_kind, 5> section_kinds = {
    {{"deployment", read_deployment},
     {"service", read_service},
     {"class", read_class},
     {"leaves", read_leaves},
     {"shards", read_shards}}};

} // namespace

void read_section(const ini_section& section, document_draft& draft)
{
    const auto kind =
        std::ranges::find(section_kinds, section.kind, &section_kind::name);
    if (kind != section_kinds.end())
    {
        kind->read(section, draft);
        return;
    }
    add_fault(draft, std::max(section.line, 1),
              section.line == 0
                  ? "lines stand before the first section"
                  : fmt::format("unknown section [{}]; known are [deployment], "
                                "[service NAME], [class NAME], [leaves GROUP] "
                                "and [shards SERVICE/VERSION]",
                                section.kind));
}

} // namespace basilpath
