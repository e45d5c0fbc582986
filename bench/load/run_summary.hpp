/// Figures of one run, per mix and over all.
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
    std::size_t partial = 0; ///< answered in part, or late
    std::size_t refused = 0; ///< answered "not run"
    std::size_t failed = 0;  ///< every other answer, or none

    /// Mean of the coverage reported, over all requests; 0 without an answer.
    double coverage = 0.0;

    /// Latencies of the requests that got an answer of any coverage.
    latency_distribution latencies;

    /// Answers by result code; "none" for requests without a readable answer.
    std::map<std::string, std::size_t> codes;
};

/// Figures of a run.
struct run_summary
{
    std::vector<mix_summary> mixes;

    /// Worth of the requests served over worth of the requests offered.
    double worth_served = 0.0;

    /// How late the tool itself was with its sends, 99th percentile.
    microseconds sent_late{0};
};

/// Counts the requests that were due from `from` to `until`.
[[nodiscard]] run_summary
summarize(const load_plan& plan,
          const std::vector<std::shared_ptr<request_outcome>>& outcomes,
          microseconds from, microseconds until);

/// A table for a terminal.
[[nodiscard]] std::string to_table(const run_summary& summary);

/// The same as JSON.
[[nodiscard]] nlohmann::json to_json(const run_summary& summary);

} // namespace basilpath::load
