/// What the sessions of a relay count.
#pragma once

#include <cstdint>

namespace basilpath
{

/// Counts of what became of calls and replies.
struct relay_counts
{
    std::uint64_t queries = 0;
    std::uint64_t first_attempts = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    std::uint64_t cancels = 0;
    std::uint64_t late_replies = 0;
    std::uint64_t crossed_replies = 0;
    std::uint64_t bad_replies = 0;
    std::uint64_t executes = 0;
    std::uint64_t leaves_lost = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t pauses = 0;
    std::uint64_t put_aside = 0;
};

} // namespace basilpath
