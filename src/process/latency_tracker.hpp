/// Latencies of the last seconds, as a histogram.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <memory>
#include <optional>

namespace basilpath
{

/// Two histograms (Boost.Histogram) that take turns: one window old and one
/// being filled, so that quantiles speak of the last one to two windows.
class latency_tracker
{
public:
    latency_tracker();
    ~latency_tracker();
    latency_tracker(const latency_tracker&) = delete;
    latency_tracker& operator=(const latency_tracker&) = delete;

    /// Adds one sample.
    void record(instant now, microseconds latency);

    /// The latency that this share of the samples stays under; nothing while
    /// there are too few samples to tell.
    [[nodiscard]] std::optional<microseconds> quantile(double share) const;

    /// The least latency of the last one to two windows, if there is any.
    [[nodiscard]] std::optional<microseconds> best() const;

    /// Forgets all samples.
    void clear();

private:
    struct windows;
    std::unique_ptr<windows> self;
};

} // namespace basilpath
