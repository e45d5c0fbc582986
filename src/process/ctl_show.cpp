#include "process/ctl_document.hpp"
#include "process/ctl_json.hpp"
#include "process/text_table.hpp"
#include "version/document_parser.hpp"
#include "version/index_version.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace basilpath
{

namespace
{

/// What one version of a service is made of, in numbers.
struct version_size
{
    std::size_t shards = 0;
    std::size_t leaves = 0;
    std::uint64_t slots = 0;
    std::size_t fewest_replicas = 0;
    std::size_t domains = 0;
};

version_size measure(const index_version& version, const document& owner)
{
    std::set<leaf_id> leaves;
    std::set<failure_domain> domains;
    version_size size;
    size.shards = version.shards.size();
    size.fewest_replicas =
        std::ranges::min(version.shards, {},
                         [](const shard& one) { return one.leaves.size(); })
            .leaves.size();
    for (const shard& one : version.shards)
    {
        leaves.insert(one.leaves.begin(), one.leaves.end());
    }
    for (const leaf_id& id : leaves)
    {
        const leaf& one = *owner.find_leaf(id);
        size.slots += one.slots;
        domains.insert(one.domain);
    }
    size.leaves = leaves.size();
    size.domains = domains.size();
    return size;
}

const char* name_of(service_kind kind)
{
    return kind == service_kind::fanout ? "fanout" : "lookup";
}

std::string services_text(const document& one)
{
    text_table table({"service", "kind", "execute", "version", "shards",
                      "leaves", "fewest replicas", "slots", "domains"});
    for (const auto& [name, service] : one.services)
    {
        for (const auto& version : service.versions)
        {
            const version_size size = measure(*version, one);
            table.add({name.value, name_of(service.kind),
                       service.accepts_execute ? "yes" : "no",
                       fmt::to_string(version->number.value),
                       fmt::to_string(size.shards), fmt::to_string(size.leaves),
                       fmt::to_string(size.fewest_replicas),
                       fmt::to_string(size.slots),
                       fmt::to_string(size.domains)});
        }
    }
    return table.format();
}

std::string classes_text(const document& one)
{
    text_table table({"class", "service", "worth", "deadline ms",
                      "least coverage", "objective ms", "objective share"});
    for (const auto& [name, entry] : one.classes)
    {
        table.add({name.value, entry.service.value,
                   fmt::to_string(entry.value.value),
                   fmt::to_string(entry.deadline.count()),
                   fmt::to_string(entry.least_coverage.value),
                   fmt::to_string(entry.objective_latency.count()),
                   fmt::to_string(entry.objective_share)});
    }
    return table.format();
}

nlohmann::json services_json(const document& one)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, service] : one.services)
    {
        nlohmann::json versions = nlohmann::json::array();
        for (const auto& version : service.versions)
        {
            const version_size size = measure(*version, one);
            versions.push_back({{"version", version->number.value},
                                {"shards", size.shards},
                                {"leaves", size.leaves},
                                {"fewest_replicas", size.fewest_replicas},
                                {"slots", size.slots},
                                {"domains", size.domains}});
        }
        list.push_back({{"service", name.value},
                        {"kind", name_of(service.kind)},
                        {"accepts_execute", service.accepts_execute},
                        {"versions", std::move(versions)}});
    }
    return list;
}

nlohmann::json classes_json(const document& one)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, entry] : one.classes)
    {
        list.push_back({{"class", name.value},
                        {"service", entry.service.value},
                        {"worth", entry.value.value},
                        {"deadline_ms", entry.deadline.count()},
                        {"least_coverage", entry.least_coverage.value},
                        {"objective_ms", entry.objective_latency.count()},
                        {"objective_share", entry.objective_share}});
    }
    return list;
}

} // namespace

ctl_result show_document(const document_file& file, ctl_format format)
{
    const parsed_document parsed = parse_document(file.bytes);
    if (!parsed.value)
    {
        return {ctl_exit::unusable,
                fmt::format("{} has {} faults; see basilpathctl check\n",
                            file.name, parsed.faults.size())};
    }
    const document& one = *parsed.value;
    if (format == ctl_format::json)
    {
        return {ctl_exit::good,
                to_json_line({{"deployment", one.deployment},
                              {"version", one.number.value},
                              {"digest", format_digest(one.digest)},
                              {"services", services_json(one)},
                              {"classes", classes_json(one)}})};
    }
    return {ctl_exit::good,
            fmt::format("{} version {}, digest {}\n\n{}\n{}", one.deployment,
                        one.number.value, format_digest(one.digest),
                        services_text(one), classes_text(one))};
}

} // namespace basilpath
