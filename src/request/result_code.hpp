/// Numbered results of a request, the same on every hop and in every answer.
/// docs/result-codes.md holds the table; a test keeps the two equal.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace basilpath
{

/// 0-99 served, 100-199 the request is at fault, 200-299 refused before
/// anything ran, 300-399 failed after work may have begun.
enum class result_code : std::uint16_t
{
    complete = 0,
    partial = 1,
    repeated = 2,

    malformed_request = 100,
    unknown_service = 101,
    unknown_class = 102,
    body_too_large = 103,
    bad_deadline = 104,
    bad_coverage = 105,
    token_missing = 106,
    token_forged = 107,
    token_expired = 108,
    key_missing = 109,
    key_reused = 110,
    not_executable = 111,
    unknown_path = 112,
    method_not_allowed = 113,
    unknown_version = 114,

    overloaded = 200,
    budget_too_short = 201,
    quarantined = 202,
    shutting_down = 203,
    no_configuration = 204,
    outcome_table_full = 205,
    no_replica = 206,
    expired_before_send = 207,

    deadline_exceeded = 300,
    coverage_too_low = 301,
    outcome_unknown = 302,
    snapshot_lost = 303,
    target_failed = 304,
    peer_lost = 305,
    cancelled = 306,
    bad_reply = 307
};

/// One row of the table of result codes.
struct result_info
{
    result_code code;
    std::string_view name;
    std::uint16_t http_status;

    /// Whether the code promises that no target ran any part of the request.
    bool not_run;

    std::string_view meaning;
};

/// All rows, in ascending order of code.
[[nodiscard]] std::span<const result_info> result_table();

/// The row of a code. Every enumerator has one.
[[nodiscard]] const result_info& info(result_code code);

/// The code with this number, if there is one.
[[nodiscard]] std::optional<result_code> to_result_code(std::uint32_t number);

} // namespace basilpath
