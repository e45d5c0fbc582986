#include "load/answer_checks.hpp"

#include "load/case_list.hpp"
#include "load/load_plan.hpp"
#include "load/target_record.hpp"
#include "request/result_code.hpp"
#include "version/document.hpp"
#include "version/index_version.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <set>

namespace basilpath::load
{

namespace
{

constexpr double coverage_tolerance = 1e-6;
constexpr milliseconds overload_window{100};

using violations = std::vector<violation>;

/// A service and the index of an overload window within the run.
using service_window = std::pair<service_name, std::int64_t>;

// Calls `check` with every answer that has a result code.
template <class Check>
void for_each_answer(const check_input& input, const Check& check)
{
    for (const auto& outcome : input.outcomes)
    {
        for (const caller_answer& answer : outcome->answers)
        {
            if (answer.code)
            {
                check(*outcome, answer);
            }
        }
    }
}

// Returns whether an answer reports that no target ran any part of the request.
bool reports_not_run(const caller_answer& answer)
{
    const auto code = answer.code ? to_result_code(*answer.code) : std::nullopt;
    return code && info(*code).not_run;
}

// Returns the shards that supplied the items of an answer.
std::set<shard_number> shards_of(const caller_answer& answer)
{
    std::set<shard_number> shards;
    std::ranges::transform(answer.origins, std::inserter(shards, shards.end()),
                           &item_origin::shard);
    return shards;
}

// Describes the error in the coverage of a fan-out answer; empty if correct.
std::string find_coverage_error(const service& wanted,
                                const index_version& version,
                                const caller_answer& answer)
{
    double missing = 0.0;
    const std::set<shard_number> present = shards_of(answer);
    for (const shard_number shard : answer.missing)
    {
        if (shard.value >= version.shards.size() || present.contains(shard))
        {
            return fmt::format("shard {} is wrongly reported as missing",
                               shard.value);
        }
        missing += version.shards[shard.value].weight;
    }
    const std::size_t reported = version.shards.size() - answer.missing.size();
    if (answer.items < wanted.item_limit && present.size() != reported)
    {
        return fmt::format("items of {} shards, {} reported as present",
                           present.size(), reported);
    }
    const double coverage = 1.0 - missing / version.total_weight;
    const bool complete = answer.code == 0U;
    if (std::abs(coverage - answer.reported_coverage) > coverage_tolerance ||
        complete != answer.missing.empty())
    {
        return fmt::format("actual coverage {}, reported {}, code {}", coverage,
                           answer.reported_coverage, *answer.code);
    }
    return {};
}

// Returns whether a request's key ran before an answer that reports that it did
// not. If the time of the run is unknown, returns whether a served answer came
// earlier or whether every answer reports that nothing ran.
bool had_run(const key_observation& seen, const request_outcome& outcome,
             const caller_answer& answer)
{
    if (seen.runs == 0)
    {
        return false;
    }
    if (seen.first_run)
    {
        return *seen.first_run < answer.received;
    }
    const auto before = std::ranges::find(outcome.answers, answer);
    return std::any_of(outcome.answers.begin(), before,
                       [](const auto& other)
                       { return is_served(other.code); }) ||
           std::ranges::all_of(outcome.answers, reports_not_run);
}

// Returns the highest worth among the mixes of each service.
std::map<service_name, worth> highest_worth(const load_plan& plan)
{
    std::map<service_name, worth> most;
    for (const traffic_mix& mix : plan.mixes)
    {
        worth& known = most[mix.service];
        known = std::max(known, mix.value);
    }
    return most;
}

// Counts, for each service and window in which a request of lower worth was
// served, the requests of the service's highest worth refused as overload.
std::map<service_window, std::size_t>
worthiest_refused(const check_input& input)
{
    auto most = highest_worth(input.plan);
    std::map<service_window, std::size_t> refused;
    std::set<service_window> others_served;
    for (const auto& outcome : input.outcomes)
    {
        const traffic_mix& mix = mix_of(input, *outcome);
        const service_window window{mix.service,
                                    outcome->scheduled.at / overload_window};
        const caller_answer* const answer = outcome->final_answer();
        const bool worthiest = mix.value == most[mix.service];
        if (!worthiest && outcome->served(mix.deadline))
        {
            others_served.insert(window);
        }
        if (worthiest && answer != nullptr &&
            answer->code == static_cast<std::uint32_t>(result_code::overloaded))
        {
            ++refused[window];
        }
    }
    std::erase_if(refused, [&others_served](const auto& one)
                  { return !others_served.contains(one.first); });
    return refused;
}

} // namespace

violations check_mixed(const check_input& input)
{
    case_list cases("mixed_versions");
    for_each_answer(
        input,
        [&](const request_outcome&, const caller_answer& answer)
        {
            const bool other = std::ranges::any_of(
                answer.origins, [&answer](const item_origin& origin)
                { return origin.version != answer.version; });
            if (other)
            {
                cases.add(fmt::format(
                    "answer to {} has items that are not of version {}",
                    answer.sent_name, answer.version.value));
            }
        });
    return cases.result();
}

violations check_crossed(const check_input& input)
{
    case_list cases("crossed_answer");
    for_each_answer(
        input,
        [&](const request_outcome&, const caller_answer& answer)
        {
            if (answer.foreign_items > 0 || answer.request != answer.sent_name)
            {
                cases.add(fmt::format(
                    "request {} received the answer to {}, with {} "
                    "items of another query",
                    answer.sent_name, answer.request, answer.foreign_items));
            }
        });
    return cases.result();
}

violations check_coverage(const check_input& input)
{
    case_list cases("false_coverage");
    for_each_answer(
        input,
        [&](const request_outcome& outcome, const caller_answer& answer)
        {
            const service* const wanted = input.configuration.find_service(
                mix_of(input, outcome).service);
            const index_version* const version =
                version_of(wanted, answer.version);
            if (!is_served(answer.code) || version == nullptr ||
                wanted->kind != service_kind::fanout)
            {
                return;
            }
            const std::string error =
                find_coverage_error(*wanted, *version, answer);
            if (!error.empty())
            {
                cases.add(
                    fmt::format("request {}: {}", answer.sent_name, error));
            }
        });
    return cases.result();
}

violations check_not_run(const check_input& input)
{
    case_list cases("false_not_run");
    for_each_answer(
        input,
        [&](const request_outcome& outcome, const caller_answer& answer)
        {
            const auto seen = input.record.keys.find(outcome.scheduled.subject);
            if (mix_of(input, outcome).execute && reports_not_run(answer) &&
                seen != input.record.keys.end() &&
                had_run(seen->second, outcome, answer))
            {
                cases.add(fmt::format(
                    "request {} received code {} although its key ran",
                    answer.sent_name, *answer.code));
            }
        });
    return cases.result();
}

violations check_worthiest(const check_input& input)
{
    const auto refused = worthiest_refused(input);
    std::size_t total = 0;
    for (const auto& [window, count] : refused)
    {
        total += count;
    }
    case_list cases("worthiest_class_refused");
    if (input.plan.bounds.worthiest_refused >= 0.0 &&
        static_cast<double>(total) > input.plan.bounds.worthiest_refused)
    {
        cases.add(fmt::format("{} requests refused, the first for service {}",
                              total, refused.begin()->first.first.value));
    }
    return cases.result();
}

} // namespace basilpath::load
