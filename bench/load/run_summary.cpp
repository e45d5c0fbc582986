#include "load/run_summary.hpp"

#include "load/load_plan.hpp"
#include "request/result_code.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace basilpath::load
{

namespace
{

// Returns the name of an answer's code.
std::string code_name(const caller_answer* answer)
{
    if (answer == nullptr || !answer->code)
    {
        return "none";
    }
    const auto code = to_result_code(*answer->code);
    return code ? std::string(info(*code).name)
                : fmt::format("unknown {}", *answer->code);
}

// Tells whether an answer promises that nothing ran.
bool says_not_run(const caller_answer& answer)
{
    const auto code = answer.code ? to_result_code(*answer.code) : std::nullopt;
    return code && info(*code).not_run;
}

// Adds one request to the figures of its mix.
void add_outcome(const request_outcome& outcome, milliseconds deadline,
                 mix_summary& mix)
{
    const caller_answer* const answer = outcome.decisive();
    ++mix.offered;
    ++mix.codes[code_name(answer)];
    if (answer != nullptr && is_served(answer->code))
    {
        mix.latencies.record(outcome.latency());
        mix.coverage += answer->reported_coverage;
    }
    if (outcome.served(deadline))
    {
        ++mix.served;
    }
    else if (answer != nullptr && is_served(answer->code))
    {
        ++mix.partial;
    }
    else if (answer != nullptr && says_not_run(*answer))
    {
        ++mix.refused;
    }
    else
    {
        ++mix.failed;
    }
}

double milliseconds_of(const latency_distribution& latencies, double share)
{
    return static_cast<double>(latencies.quantile(share).count()) / 1e3;
}

// Returns a share, and 1 when there is nothing to have a share of.
double share_of(double part, double whole)
{
    return whole > 0.0 ? part / whole : 1.0;
}

} // namespace

run_summary
summarize(const load_plan& plan,
          const std::vector<std::shared_ptr<request_outcome>>& outcomes,
          microseconds from, microseconds until)
{
    run_summary summary;
    for (const traffic_mix& mix : plan.mixes)
    {
        summary.mixes.emplace_back();
        summary.mixes.back().name = mix.name;
        summary.mixes.back().worth = mix.value.value;
    }
    latency_distribution lateness;
    for (const auto& outcome : outcomes)
    {
        const arrival& scheduled = outcome->scheduled;
        if (scheduled.at >= from && scheduled.at < until)
        {
            add_outcome(*outcome, plan.mixes[scheduled.mix].deadline,
                        summary.mixes[scheduled.mix]);
            lateness.record(outcome->sent_late);
        }
    }
    double offered = 0.0;
    double served = 0.0;
    for (mix_summary& mix : summary.mixes)
    {
        offered += mix.worth * static_cast<double>(mix.offered);
        served += mix.worth * static_cast<double>(mix.served);
        mix.coverage = share_of(mix.coverage, static_cast<double>(mix.offered));
    }
    summary.worth_served = share_of(served, offered);
    summary.sent_late = lateness.quantile(0.99);
    return summary;
}

std::string to_table(const run_summary& summary)
{
    std::string table =
        fmt::format("{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}\n",
                    "mix", "offered", "served", "partial", "refused", "failed",
                    "coverage", "p50_ms", "p99_ms", "p99.9_ms");
    const auto out = std::back_inserter(table);
    for (const mix_summary& mix : summary.mixes)
    {
        fmt::format_to(
            out,
            "{:<16}{:>8}{:>8}{:>8}{:>8}{:>8}{:>9.4f}{:>9.2f}{:>9.2f}{:>9.2f}\n",
            mix.name, mix.offered, mix.served, mix.partial, mix.refused,
            mix.failed, mix.coverage, milliseconds_of(mix.latencies, 0.5),
            milliseconds_of(mix.latencies, 0.99),
            milliseconds_of(mix.latencies, 0.999));
    }
    for (const mix_summary& mix : summary.mixes)
    {
        fmt::format_to(out, "{} codes:", mix.name);
        for (const auto& [name, count] : mix.codes)
        {
            fmt::format_to(out, " {}={}", name, count);
        }
        table += '\n';
    }
    fmt::format_to(out, "worth_served={:.4f} sent_late_p99_us={}\n",
                   summary.worth_served, summary.sent_late.count());
    return table;
}

nlohmann::json to_json(const run_summary& summary)
{
    nlohmann::json mixes = nlohmann::json::array();
    for (const mix_summary& mix : summary.mixes)
    {
        mixes.push_back({{"name", mix.name},
                         {"worth", mix.worth},
                         {"offered", mix.offered},
                         {"served", mix.served},
                         {"partial", mix.partial},
                         {"refused", mix.refused},
                         {"failed", mix.failed},
                         {"coverage", mix.coverage},
                         {"p50_ms", milliseconds_of(mix.latencies, 0.5)},
                         {"p99_ms", milliseconds_of(mix.latencies, 0.99)},
                         {"p999_ms", milliseconds_of(mix.latencies, 0.999)},
                         {"codes", mix.codes}});
    }
    return {{"mixes", std::move(mixes)},
            {"worth_served", summary.worth_served},
            {"sent_late_p99_us", summary.sent_late.count()}};
}

} // namespace basilpath::load
