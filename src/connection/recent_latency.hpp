/// The last few latencies of one leaf.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace basilpath
{

/// A ring of samples; what is older than the window does not count.
class recent_latency
{
public:
    /// Adds one sample.
    void add(instant now, microseconds latency);

    /// Median of the samples inside the window; nothing when they are too few
    /// to tell.
    [[nodiscard]] std::optional<microseconds> median(instant now) const;

    /// Forgets all samples.
    void clear();

private:
    static constexpr std::size_t capacity = 8;

    /// One latency and when it was seen.
    struct sample
    {
        instant at;
        microseconds latency{0};
    };

    std::array<sample, capacity> samples;
    std::size_t added = 0;
};

} // namespace basilpath
