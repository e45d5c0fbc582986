#include "node/process/view_send_limit.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// A host with a longer queue asks others to fetch elsewhere. Well below the
// time that a fetch waits for its response.
constexpr microseconds max_wait = 400ms;

// Part of the queue that is sent in parallel, so that the link is not idle
// while a receiver connects.
constexpr microseconds overlap = 50ms;

// A smaller view hardly delays the others, and is not delayed by them.
constexpr std::size_t small_view_bytes = 16'384;

constexpr double min_mbps = 1.0;
constexpr double bytes_per_megabit = 125'000.0;

} // namespace

view_send_limit::view_send_limit(double link_mbps)
    : bytes_per_second(std::max(link_mbps, min_mbps) * bytes_per_megabit)
{
}

std::optional<microseconds> view_send_limit::reserve(std::size_t bytes,
                                                     instant now)
{
    const instant start = std::max(this->free_at, now);
    const microseconds wait = start - now;
    const bool small = bytes <= small_view_bytes;
    if (wait > max_wait && !small)
    {
        return std::nullopt;
    }
    const std::chrono::duration<double> duration(static_cast<double>(bytes) /
                                                 this->bytes_per_second);
    this->free_at = start + std::chrono::duration_cast<microseconds>(duration);
    return small ? microseconds(0) : std::max(wait - overlap, microseconds(0));
}

} // namespace basilpath
