/// Selects the requests to log and writes their log lines.
#pragma once

#include "node/request/decision_trace.hpp"
#include "process/instant.hpp"

#include <cstdint>
#include <deque>

namespace basilpath
{

/// Logs all lines of a request, only the one that ends it, or none: failed
/// requests as long as the rate limit permits, others by sampling. Needed when
/// so many requests fail that logging them all would take processor time from
/// the other requests.
class request_log
{
public:
    /// Logs a request that has ended, with its decisions, if it is selected.
    void note(const request_summary& summary, const decision_trace& trace,
              instant now);

    /// Reports the requests that were not logged since the last report, with
    /// the ids of the latest ones.
    void report_dropped();

    /// Number of requests over the rate limit that should have been logged.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->dropped_count;
    }

private:
    /// How much of a request is logged.
    enum class extent : std::uint8_t
    {
        none,
        end_only,
        whole
    };

    [[nodiscard]] extent choose_extent(const request_summary& summary,
                                       std::size_t lines, instant now);

    /// Token bucket of log lines: the lines that may be written now.
    double line_tokens = 0;
    instant refilled_at{};
    std::uint64_t dropped_count = 0;
    std::uint64_t dropped_reported = 0;

    /// Ids of the latest requests that were dropped and not reported yet.
    std::deque<request_id> dropped_ids;
};

/// Returns whether a successful request is logged: the same result on every
/// host and for every line of the request.
[[nodiscard]] bool is_sampled(const request_id& id);

} // namespace basilpath
