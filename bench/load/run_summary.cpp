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

// Returns the name of an answer's code; "none" without a readable answer.
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

// Returns whether an answer reports that nothing ran.
bool reports_not_run(const caller_answer& answer)
{
    const auto code = answer.code ? to_result_code(*answer.code) : std::nullopt;
    return code && info(*code).not_run;
}

// Adds one request to the figures of its mix.
void add_outcome(const request_outcome& outcome, milliseconds deadline,
                 mix_summary& mix)
{
    const caller_answer* const answer = outcome.final_answer();
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
    else if (answer != nullptr && reports_not_run(*answer))
    {
        ++mix.refused;
    }
    else
    {
        ++mix.failed;
    }
}

double quantile_ms(const latency_distribution& latencies, double share)
{
    return static_cast<double>(latencies.quantile(share).count()) / 1e3;
}

// Returns part / whole, or 1 if `whole` is 0.
double ratio_or_one(double part, double whole)
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
    latency_distribution send_delays;
    for (const auto& outcome : outcomes)
    {
        const arrival& scheduled = outcome->scheduled;
        if (scheduled.at >= from && scheduled.at < until)
        {
            add_outcome(*outcome, plan.mixes[scheduled.mix].deadline,
                        summary.mixes[scheduled.mix]);
            send_delays.record(outcome->send_delay);
        }
    }
    double offered = 0.0;
    double served = 0.0;
    for (mix_summary& mix : summary.mixes)
    {
        offered += mix.worth * static_cast<double>(mix.offered);
        served += mix.worth * static_cast<double>(mix.served);
        mix.coverage =
            ratio_or_one(mix.coverage, static_cast<double>(mix.offered));
    }
    summary.worth_served = ratio_or_one(served, offered);
    summary.send_delay = send_delays.quantile(0.99);
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
            mix.failed, mix.coverage, quantile_ms(mix.latencies, 0.5),
            quantile_ms(mix.latencies, 0.99),
            quantile_ms(mix.latencies, 0.999));
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
                   summary.worth_served, summary.send_delay.count());
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
                         {"p50_ms", quantile_ms(mix.latencies, 0.5)},
                         {"p99_ms", quantile_ms(mix.latencies, 0.99)},
                         {"p999_ms", quantile_ms(mix.latencies, 0.999)},
                         {"codes", mix.codes}});
    }
    return {{"mixes", std::move(mixes)},
            {"worth_served", summary.worth_served},
            {"sent_late_p99_us", summary.send_delay.count()}};
}

} // namespace basilpath::load
