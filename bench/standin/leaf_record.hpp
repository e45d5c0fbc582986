/// Counters of the traffic of one leaf.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace basilpath::standin
{

/// Counters since the start or the last reset.
struct leaf_record
{
    using time_point = std::chrono::steady_clock::time_point;

    std::size_t connections = 0;
    std::size_t connections_peak = 0;
    std::uint64_t connections_opened = 0;

    /// Connections closed on arrival because the leaf was at its limit.
    std::uint64_t connections_refused = 0;

    std::uint64_t received = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t shed = 0;
    std::uint64_t draining = 0;
    std::uint64_t wrong_version = 0;
    std::uint64_t past_deadline = 0;
    std::uint64_t malformed = 0;
    std::uint64_t dropped_silently = 0;
    std::uint64_t crashes = 0;

    /// Time at which the leaf was published as leaving; none if it is live.
    std::optional<time_point> leaving_since;

    /// Time of the last request since `leaving_since`.
    std::optional<time_point> last_after_leaving;

    /// Counts a connection; returns whether it is within the limit.
    bool connect(std::size_t limit);

    void disconnect();

    /// Counts a request.
    void receive(time_point now);

    /// Resets the counters, but keeps the open connections and
    /// `leaving_since`.
    void reset();
};

} // namespace basilpath::standin
