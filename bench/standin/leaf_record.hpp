/// What one leaf has really seen.
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

    /// Connections closed at once because the leaf had its limit.
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
    std::uint64_t unheard = 0;
    std::uint64_t crashes = 0;

    /// When the leaf was published as leaving.
    std::optional<time_point> leaving_since;

    /// When the last request came after that.
    std::optional<time_point> last_after_leaving;

    /// Counts a connection; false when it is over the limit.
    bool connect(std::size_t limit);

    void disconnect();

    /// Counts a request.
    void receive(time_point now);

    /// Forgets the counters and keeps what still holds.
    void reset();
};

} // namespace basilpath::standin
