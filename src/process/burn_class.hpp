/// What one class of requests has been given, for the burn report.
#pragma once

#include "process/burn_window.hpp"
#include "process/latency_histogram.hpp"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <map>
#include <optional>
#include <string>

namespace basilpath
{

/// Coverage of answers in tenths: below 0.1, below 0.2, and so on; the last
/// place counts complete answers.
inline constexpr std::size_t coverage_steps = 11;

/// Counts of one class, of one process or merged over several.
struct burn_class
{
    std::string name;
    std::string service;
    double worth = 1.0;
    double objective_ms = 0.0;
    double objective_share = 0.0;

    /// One for each of `burn_windows`.
    std::array<burn_counts, burn_windows.size()> windows{};

    /// Since the process started.
    burn_counts lifetime;
    std::map<std::uint32_t, std::uint64_t> codes;
    std::array<std::uint64_t, coverage_steps> coverage{};
    latency_histogram latency;

    /// Adds the counts of the same class at another process; the newer of the
    /// two documents may have other objectives, the largest is kept.
    void merge(const burn_class& other);
};

/// Writes a class as JSON.
[[nodiscard]] nlohmann::json to_json(const burn_class& one);

/// Reads a class that `to_json` wrote; nothing when it is not of that form.
[[nodiscard]] std::optional<burn_class>
burn_class_from_json(const nlohmann::json& value);

} // namespace basilpath
