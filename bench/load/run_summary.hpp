/// Figures of one run, per mix and in total.
#pragma once

#include "load/latency_distribution.hpp"
#include "load/request_outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilpath::load
{

struct load_plan;

/// Figures of one mix.
struct mix_summary
{
    std::string name;
    double worth = 1.0;
    std::size_t offered = 0;
    std::size_t served = 0;  ///< complete and within the deadline
    std::size_t partial = 0; ///< answered in part or late
    std::size_t refused = 0; ///< answered "not run"
    std::size_t failed = 0;  ///< any other answer, or none

    /// Mean reported coverage over all requests; 0 for one that is not served.
    double coverage = 0.0;

    /// Latencies of the served requests, whatever their coverage.
    latency_distribution latencies;

    /// Requests by result code; "none" for those without a readable answer.
    std::map<std::string, std::size_t> codes;
};

/// Figures of a run.
struct run_summary
{
    std::vector<mix_summary> mixes;

    /// Worth of the served requests divided by the worth of all requests.
    double worth_served = 0.0;

    /// 99th percentile of the tool's own send delay.
    microseconds send_delay{0};
};

/// Summarizes the requests scheduled from `from` to `until`.
[[nodiscard]] run_summary
summarize(const load_plan& plan,
          const std::vector<std::shared_ptr<request_outcome>>& outcomes,
          microseconds from, microseconds until);

/// Formats the figures as a text table.
[[nodiscard]] std::string to_table(const run_summary& summary);

/// Returns the figures as JSON.
[[nodiscard]] nlohmann::json to_json(const run_summary& summary);

} // namespace basilpath::load
