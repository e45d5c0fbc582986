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

constexpr double coverage_error = 1e-6;
constexpr milliseconds overload_window{100};

using violations = std::vector<violation>;

/// A service in one part of the run.
using service_moment = std::pair<service_name, std::int64_t>;

// Calls `check` with every answer that came with a result code.
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

// Tells whether an answer says that no target ran any part of the request.
bool says_not_run(const caller_answer& answer)
{
    const auto code = answer.code ? to_result_code(*answer.code) : std::nullopt;
    return code && info(*code).not_run;
}

// Returns the shards that an answer's items come from.
std::set<shard_number> shards_of(const caller_answer& answer)
{
    std::set<shard_number> shards;
    std::ranges::transform(answer.origins, std::inserter(shards, shards.end()),
                           &item_origin::shard);
    return shards;
}

// Returns what is wrong with the coverage of a fan-out answer, or nothing.
std::string coverage_fault(const service& wanted, const index_version& version,
                           const caller_answer& answer)
{
    double missing = 0.0;
    const std::set<shard_number> present = shards_of(answer);
    for (const shard_number shard : answer.missing)
    {
        if (shard.value >= version.shards.size() || present.contains(shard))
        {
            return fmt::format("shard {} is said to be missing", shard.value);
        }
        missing += version.shards[shard.value].weight;
    }
    const std::size_t said = version.shards.size() - answer.missing.size();
    if (answer.items < wanted.item_limit && present.size() != said)
    {
        return fmt::format("items of {} shards where {} are claimed",
                           present.size(), said);
    }
    const double coverage = 1.0 - missing / version.total_weight;
    const bool complete = answer.code == 0U;
    if (std::abs(coverage - answer.reported_coverage) > coverage_error ||
        complete != answer.missing.empty())
    {
        return fmt::format("coverage {} is said to be {}, code {}", coverage,
                           answer.reported_coverage, *answer.code);
    }
    return {};
}

// Tells whether the key of a request had run when an answer came that said it
// had not. Without the time of the run: whether a better answer came before.
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
           std::ranges::all_of(outcome.answers, says_not_run);
}

// Returns the worth of the worthiest mix of each service.
std::map<service_name, worth> most_worth(const load_plan& plan)
{
    std::map<service_name, worth> most;
    for (const traffic_mix& mix : plan.mixes)
    {
        worth& known = most[mix.service];
        known = std::max(known, mix.value);
    }
    return most;
}

// Returns how many requests of the worthiest mixes were refused as overload
// in each part of the run in which one of less worth was served.
std::map<service_moment, std::size_t>
worthiest_refused(const check_input& input)
{
    auto most = most_worth(input.plan);
    std::map<service_moment, std::size_t> refused;
    std::set<service_moment> others_served;
    for (const auto& outcome : input.outcomes)
    {
        const traffic_mix& mix = mix_of(input, *outcome);
        const service_moment moment{mix.service,
                                    outcome->scheduled.at / overload_window};
        const caller_answer* const answer = outcome->decisive();
        const bool worthiest = mix.value == most[mix.service];
        if (!worthiest && outcome->served(mix.deadline))
        {
            others_served.insert(moment);
        }
        if (worthiest && answer != nullptr &&
            answer->code == static_cast<std::uint32_t>(result_code::overloaded))
        {
            ++refused[moment];
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
                cases.add(fmt::format("request {} reports version {}",
                                      answer.asked, answer.version.value));
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
            if (answer.foreign_items > 0 || answer.request != answer.asked)
            {
                cases.add(fmt::format(
                    "request {} got the answer of {} with {} items "
                    "of another query",
                    answer.asked, answer.request, answer.foreign_items));
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
            const std::string fault = coverage_fault(*wanted, *version, answer);
            if (!fault.empty())
            {
                cases.add(fmt::format("request {}: {}", answer.asked, fault));
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
            if (mix_of(input, outcome).execute && says_not_run(answer) &&
                seen != input.record.keys.end() &&
                had_run(seen->second, outcome, answer))
            {
                cases.add(fmt::format("request {} got code {}", answer.asked,
                                      *answer.code));
            }
        });
    return cases.result();
}

violations check_worthiest(const check_input& input)
{
    const auto refused = worthiest_refused(input);
    std::size_t total = 0;
    for (const auto& [moment, count] : refused)
    {
        total += count;
    }
    case_list cases("worthiest_class_refused");
    if (input.plan.bounds.worthiest_refused >= 0.0 &&
        static_cast<double>(total) > input.plan.bounds.worthiest_refused)
    {
        cases.add(fmt::format("{} requests, the first for {}", total,
                              refused.begin()->first.first.value));
    }
    return cases.result();
}

} // namespace basilpath::load
