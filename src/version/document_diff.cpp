#include "version/document_diff.hpp"

#include "version/document.hpp"
#include "version/index_version.hpp"
#include "version/version_diff.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace basilpath
{

namespace
{

/// Collects the changes of one service.
struct change_list
{
    std::string service;
    std::vector<document_change>& changes;

    // Adds a change when the two texts differ.
    void compare(std::string subject, std::string before, std::string after,
                 std::string effect)
    {
        if (before != after)
        {
            this->changes.push_back({this->service, std::move(subject),
                                     std::move(before), std::move(after),
                                     std::move(effect)});
        }
    }
};

std::string_view to_text(service_kind kind)
{
    return kind == service_kind::fanout ? "fanout" : "lookup";
}

std::string_view to_text(merge_rule rule)
{
    return rule == merge_rule::top ? "top" : "concatenate";
}

// Compares the keys of a service's own section.
void compare_settings(change_list& list, const service& from, const service& to)
{
    list.compare("kind", std::string(to_text(from.kind)),
                 std::string(to_text(to.kind)),
                 "queries reach other shards than before");
    list.compare("merge", std::string(to_text(from.merge)),
                 std::string(to_text(to.merge)),
                 "answers list their items in another order");
    list.compare("item_limit", fmt::to_string(from.item_limit),
                 fmt::to_string(to.item_limit),
                 "answers hold at most this many items");
    list.compare("accepts_execute", from.accepts_execute ? "yes" : "no",
                 to.accepts_execute ? "yes" : "no",
                 to.accepts_execute ? "requests to execute are accepted"
                                    : "requests to execute are refused");
    list.compare("hedge_share", fmt::to_string(from.hedge_share),
                 fmt::to_string(to.hedge_share), "changes the extra load");
    list.compare("retry_share", fmt::to_string(from.retry_share),
                 fmt::to_string(to.retry_share), "changes the extra load");
    list.compare("owner_hosts", fmt::to_string(from.owner_hosts),
                 fmt::to_string(to.owner_hosts),
                 "divides every leaf's connections anew");
}

// Tells how much of a version's weight is held by other leaves than before.
std::string describe_move(const index_version& from, const index_version& to)
{
    const version_move move = compare_versions(from, to);
    return fmt::format("{} of {} shards change leaves ({:.1f}% of the weight); "
                       "{} leaves take a shard they did not hold",
                       move.changed_shards, to.shards.size(),
                       100.0 * move.changed_weight_share, move.new_placements);
}

std::string describe_version(const index_version& version)
{
    return fmt::format("{} shards", version.shards.size());
}

const index_version* find_version(const service& owner, version_number number)
{
    const auto found = std::ranges::find(
        owner.versions, number, [](const auto& one) { return one->number; });
    return found == owner.versions.end() ? nullptr : found->get();
}

// Compares the index versions that both documents hold, then the others.
void compare_versions_of(change_list& list, const service& from,
                         const service& to)
{
    const index_version& newest = *to.versions.front();
    const index_version& previous = *from.versions.front();
    list.compare("newest version", fmt::to_string(previous.number.value),
                 fmt::to_string(newest.number.value),
                 "new queries move to it; those running end on theirs");
    for (const auto& version : to.versions)
    {
        const index_version* const old = find_version(from, version->number);
        const std::string subject =
            fmt::format("version {}", version->number.value);
        if (old == nullptr)
        {
            list.compare(subject, "", describe_version(*version),
                         describe_move(previous, *version));
        }
        else if (!(compare_versions(*old, *version) == version_move{}))
        {
            list.changes.push_back(
                {list.service, subject, describe_version(*old),
                 describe_version(*version), describe_move(*old, *version)});
        }
    }
    for (const auto& version : from.versions)
    {
        if (find_version(to, version->number) == nullptr)
        {
            list.compare(fmt::format("version {}", version->number.value),
                         describe_version(*version), "",
                         "new queries cannot use it; those running end on it");
        }
    }
}

// Compares the leaves of one service that both documents name.
void compare_leaf(change_list& list, const leaf& from, const leaf& to)
{
    const std::string prefix = fmt::format("leaf {} ", to.id.value);
    list.compare(prefix + "domain", from.domain.value, to.domain.value,
                 "other hosts may own it");
    list.compare(prefix + "slots", fmt::to_string(from.slots),
                 fmt::to_string(to.slots),
                 "changes the requests sent to it at once");
    list.compare(prefix + "connections", fmt::to_string(from.connections),
                 fmt::to_string(to.connections),
                 "changes the connections of each owner");
    list.compare(prefix + "connect_us",
                 fmt::to_string(from.connect_time.count()),
                 fmt::to_string(to.connect_time.count()),
                 "changes how early connections are set up");
}

std::set<leaf_id> leaves_of(const service& one)
{
    std::set<leaf_id> result;
    for (const auto& version : one.versions)
    {
        for (const shard& part : version->shards)
        {
            result.insert(part.leaves.begin(), part.leaves.end());
        }
    }
    return result;
}

void compare_leaves(change_list& list, const service& from, const service& to,
                    const document& old_document, const document& new_document)
{
    const std::set<leaf_id> before = leaves_of(from);
    const std::set<leaf_id> after = leaves_of(to);
    for (const leaf_id& id : after)
    {
        const leaf& now = *new_document.find_leaf(id);
        const leaf* const old = old_document.find_leaf(id);
        if (!before.contains(id))
        {
            list.compare(fmt::format("leaf {}", id.value), "",
                         fmt::format("in {}", now.domain.value),
                         "takes connections and work");
        }
        if (old != nullptr)
        {
            compare_leaf(list, *old, now);
        }
    }
    for (const leaf_id& id : before)
    {
        if (!after.contains(id))
        {
            list.compare(
                fmt::format("leaf {}", id.value),
                fmt::format("in {}", old_document.find_leaf(id)->domain.value),
                "", "gets no new work");
        }
    }
}

std::string describe_class(const request_class& one)
{
    return fmt::format("worth {} deadline_ms {}", one.value.value,
                       one.deadline.count());
}

// Compares a class that both documents name.
void compare_class(change_list& list, const request_class& from,
                   const request_class& to)
{
    const std::string prefix = fmt::format("class {} ", to.name.value);
    list.compare(prefix + "service", from.service.value, to.service.value,
                 "requests of the class go elsewhere");
    list.compare(prefix + "worth", fmt::to_string(from.value.value),
                 fmt::to_string(to.value.value),
                 "changes what is refused first under overload");
    list.compare(prefix + "deadline_ms", fmt::to_string(from.deadline.count()),
                 fmt::to_string(to.deadline.count()),
                 to.deadline < from.deadline
                     ? "callers that ask for more get bad_deadline"
                     : "callers may wait longer");
    list.compare(prefix + "least_coverage",
                 fmt::to_string(from.least_coverage.value),
                 fmt::to_string(to.least_coverage.value),
                 to.least_coverage > from.least_coverage
                     ? "more partial answers become coverage_too_low"
                     : "more partial answers are given");
    list.compare(prefix + "objective_ms",
                 fmt::to_string(from.objective_latency.count()),
                 fmt::to_string(to.objective_latency.count()),
                 "the burn report counts by it");
    list.compare(
        prefix + "objective_share", fmt::to_string(from.objective_share),
        fmt::to_string(to.objective_share), "the burn report counts by it");
}

// Compares the classes of one service.
void compare_classes(change_list& list, const service_name& name,
                     const document& from, const document& to)
{
    for (const auto& [id, now] : to.classes)
    {
        const request_class* const old = from.find_class(id);
        if (now.service == name && old != nullptr)
        {
            compare_class(list, *old, now);
        }
        else if (now.service == name)
        {
            list.compare(fmt::format("class {}", id.value), "",
                         describe_class(now), "callers may name it");
        }
    }
    for (const auto& [id, old] : from.classes)
    {
        if (old.service == name && to.find_class(id) == nullptr)
        {
            list.compare(fmt::format("class {}", id.value), describe_class(old),
                         "", "callers that name it get unknown_class");
        }
    }
}

std::string describe_service(const service& one)
{
    return fmt::format("{}, {} shards, {} leaves", to_text(one.kind),
                       one.versions.front()->shards.size(),
                       leaves_of(one).size());
}

// Compares one service that at least one of the documents names.
void compare_service(std::vector<document_change>& changes,
                     const service_name& name, const document& from,
                     const document& to)
{
    change_list list{name.value, changes};
    const service* const old = from.find_service(name);
    const service* const now = to.find_service(name);
    if (old == nullptr)
    {
        list.compare("service", "", describe_service(*now),
                     "callers may query it");
    }
    else if (now == nullptr)
    {
        list.compare("service", describe_service(*old), "",
                     "callers that name it get unknown_service");
    }
    else
    {
        compare_settings(list, *old, *now);
        compare_versions_of(list, *old, *now);
        compare_leaves(list, *old, *now, from, to);
    }
    compare_classes(list, name, from, to);
}

} // namespace

std::vector<document_change> diff_documents(const document& from,
                                            const document& to)
{
    std::vector<document_change> changes;
    change_list whole{"", changes};
    whole.compare("name", from.deployment, to.deployment,
                  "this is another deployment");
    const bool same = from.digest == to.digest;
    if (!same || from.number != to.number)
    {
        changes.push_back(
            {"", "version", fmt::to_string(from.number.value),
             fmt::to_string(to.number.value),
             to.number > from.number
                 ? "takes force"
                 : "does not take force; the version must be higher"});
    }
    std::set<service_name> names;
    for (const document* one : {&from, &to})
    {
        for (const auto& [name, service] : one->services)
        {
            names.insert(name);
        }
    }
    for (const service_name& name : names)
    {
        compare_service(changes, name, from, to);
    }
    return changes;
}

} // namespace basilpath
