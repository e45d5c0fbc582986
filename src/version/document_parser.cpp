#include "version/document_parser.hpp"

#include "version/document_checks.hpp"
#include "version/document_draft.hpp"
#include "version/document_sections.hpp"
#include "version/ini_section.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <numeric>
#include <ranges>
#include <utility>

namespace basilpath
{

namespace
{

constexpr std::size_t document_limit_bytes = 1'000'000;
constexpr std::size_t listed_faults_limit = 1'000;

// Makes an index version of shards that have passed the checks.
std::shared_ptr<const index_version>
make_version(const service_name& name, version_number number,
             const std::vector<located<shard>>& lines)
{
    auto version = std::make_shared<index_version>();
    version->service = name;
    version->number = number;
    std::ranges::transform(lines, std::back_inserter(version->shards),
                           &located<shard>::value);
    std::ranges::sort(version->shards, {}, &shard::number);
    version->total_weight = std::accumulate(
        version->shards.begin(), version->shards.end(), 0.0,
        [](double sum, const shard& one) { return sum + one.weight; });
    return version;
}

// Makes the document of a draft without faults.
std::shared_ptr<const document> make_document(document_draft& draft,
                                              std::string_view bytes)
{
    auto made = std::make_shared<document>();
    made->deployment = std::move(draft.deployment);
    made->number = draft.number;
    made->digest = document_digest(XXH3_64bits(bytes.data(), bytes.size()));
    for (auto& [name, one] : draft.services)
    {
        for (const auto& [number, lines] :
             draft.versions[name] | std::views::reverse)
        {
            one.value.versions.push_back(
                make_version(name, number, lines.value));
        }
        assert(!one.value.versions.empty());
        made->services.emplace(name, std::move(one.value));
    }
    for (auto& [name, one] : draft.classes)
    {
        made->classes.emplace(name, std::move(one.value));
    }
    for (auto& [id, one] : draft.leaves)
    {
        made->leaves.emplace_hint(made->leaves.end(), id, std::move(one.value));
    }
    return made;
}

// Puts faults into the order of their lines and keeps a bounded number.
std::vector<document_fault> order_faults(std::vector<document_fault> faults)
{
    std::ranges::stable_sort(faults, {}, &document_fault::line);
    if (faults.size() > listed_faults_limit)
    {
        const std::size_t left = faults.size() - listed_faults_limit;
        faults.resize(listed_faults_limit);
        faults.push_back({0, fmt::format("{} more faults", left)});
    }
    return faults;
}

} // namespace

parsed_document parse_document(std::string_view bytes)
{
    if (bytes.size() > document_limit_bytes)
    {
        return {nullptr,
                {{0, fmt::format("the document has {} bytes; at most {} are "
                                 "accepted",
                                 bytes.size(), document_limit_bytes)}}};
    }
    const ini_text text = read_ini(bytes);
    document_draft draft;
    std::ranges::transform(text.faults, std::back_inserter(draft.faults),
                           [](const ini_fault& fault) {
                               return document_fault{fault.line, fault.message};
                           });
    for (const ini_section& section : group_sections(text))
    {
        read_section(section, draft);
    }
    check_draft(draft);
    if (!draft.faults.empty())
    {
        return {nullptr, order_faults(std::move(draft.faults))};
    }
    return {make_document(draft, bytes), {}};
}

} // namespace basilpath
