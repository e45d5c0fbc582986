/// Quantiles of recent latencies.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <memory>
#include <optional>

namespace basilpath
{

/// Two alternating histograms (Boost.Histogram): the previous window and the
/// current one, so that quantiles cover the last one to two windows.
class latency_tracker
{
public:
    latency_tracker();
    ~latency_tracker();
    latency_tracker(const latency_tracker&) = delete;
    latency_tracker& operator=(const latency_tracker&) = delete;

    void record(instant now, microseconds latency);

    /// Returns the quantile of a share from 0 to 1; nothing while there are too
    /// few samples.
    [[nodiscard]] std::optional<microseconds> quantile(double share) const;

    /// Returns the least latency of the last one to two windows; nothing while
    /// there are too few samples.
    [[nodiscard]] std::optional<microseconds> best() const;

    /// Removes all samples.
    void clear();

private:
    struct windows;
    std::unique_ptr<windows> self;
};

} // namespace basilpath
