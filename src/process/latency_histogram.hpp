/// Latencies on a logarithmic scale.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace basilpath
{

/// A cumulative bucket, as the text exposition wants it.
struct latency_bucket
{
    /// Upper edge; latencies below it are counted.
    std::chrono::microseconds below;

    std::uint64_t count = 0;
};

/// One bin with its count, for sending a histogram to another process.
struct latency_bin
{
    /// From -1 (below the scale) to `latency_histogram::bin_count` (above).
    int index = 0;

    std::uint64_t count = 0;
};

/// Counts latencies from 10 us to 60 s in steps of 5%; what is shorter or
/// longer is counted at the ends. Used on one thread.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram& other);
    latency_histogram& operator=(const latency_histogram& other);
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    /// Counts one latency.
    void record(std::chrono::microseconds latency);

    /// Adds everything that another histogram has counted.
    void merge(const latency_histogram& other);

    /// Forgets everything.
    void reset();

    /// Latency below which this share (0 to 1) of the counted ones lies, to
    /// the width of a step; zero when nothing was counted.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

    /// Number of latencies counted.
    [[nodiscard]] std::uint64_t count() const;

    /// Sum of the latencies counted.
    [[nodiscard]] std::chrono::microseconds sum() const;

    /// The bins that hold something, ascending.
    [[nodiscard]] std::vector<latency_bin> bins() const;

    /// Adds the bins of another histogram, e.g. of another process, whose sum
    /// is given too. False, with nothing added, when a bin is off the scale.
    [[nodiscard]] bool add_bins(const std::vector<latency_bin>& bins,
                                std::chrono::microseconds sum);

    /// Number of bins on the scale.
    static constexpr int bin_count = 320;

    /// Cumulative counts at a few edges, ascending.
    [[nodiscard]] std::vector<latency_bucket> buckets() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace basilpath
