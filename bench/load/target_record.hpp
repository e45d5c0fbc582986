/// What the stand-in's leaves have really seen.
#pragma once

#include "version/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath::load
{

/// What one leaf has seen.
struct leaf_observation
{
    std::uint64_t received = 0;
    std::uint64_t crashes = 0;
    std::uint64_t peak_connections = 0;
    std::uint64_t connection_limit = 0;

    /// When the last request came, counted from the publication that the leaf
    /// is leaving; nothing when none came since.
    std::optional<double> after_leaving_ms;
};

/// What all leaves have seen of one idempotency key.
struct key_observation
{
    std::uint64_t runs = 0;

    /// Time of the first run since the start of the load run.
    std::optional<microseconds> first_run;
};

/// One answer of `GET /standin/record`.
struct target_record
{
    std::map<leaf_id, leaf_observation> leaves;
    std::map<std::string, key_observation> keys;
    std::uint64_t platform_calls = 0;
};

/// Reads a record; `start` is the start of the run on the monotonic clock.
/// Nothing when it is not of the stand-in's form.
[[nodiscard]] std::optional<target_record>
read_target_record(std::string_view body, microseconds start);

} // namespace basilpath::load
