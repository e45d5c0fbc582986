/// Requests as the stand-in's leaves recorded them.
#pragma once

#include "version/ids.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath::load
{

/// Counters of one leaf.
struct leaf_observation
{
    std::uint64_t received = 0;
    std::uint64_t crashes = 0;
    std::uint64_t peak_connections = 0;
    std::uint64_t connection_limit = 0;

    /// Time of the last request after the leaf was published as leaving;
    /// nullopt if there was none.
    std::optional<double> after_leaving_ms;
};

/// Executions of one idempotency key on all leaves.
struct key_observation
{
    std::uint64_t runs = 0;

    /// Time of the first run since the start of the load run.
    std::optional<microseconds> first_run;
};

/// The response to `GET /standin/record`.
struct target_record
{
    std::map<leaf_id, leaf_observation> leaves;
    std::map<std::string, key_observation> keys;
    std::uint64_t platform_calls = 0;
};

/// Parses a record; `start` is the start of the run on the monotonic clock.
/// Returns nullopt if the record is malformed.
[[nodiscard]] std::optional<target_record>
read_target_record(std::string_view body, microseconds start);

} // namespace basilpath::load
