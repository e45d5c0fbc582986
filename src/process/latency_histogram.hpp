/// A histogram of latencies with logarithmic bins.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace basilpath
{

/// A cumulative bucket of the text exposition format.
struct latency_bucket
{
    /// Exclusive upper bound of the counted latencies.
    std::chrono::microseconds below;

    std::uint64_t count = 0;
};

/// A bin with its count, the form in which another process receives it.
struct latency_bin
{
    /// From -1 (underflow) to `latency_histogram::bin_count` (overflow).
    int index = 0;

    std::uint64_t count = 0;
};

/// Counts latencies from 10 us to 60 s in bins that grow by 5%; an underflow
/// and an overflow bin count the rest. Not thread-safe.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram& other);
    latency_histogram& operator=(const latency_histogram& other);
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(std::chrono::microseconds latency);

    /// Adds the counts of another histogram.
    void merge(const latency_histogram& other);

    /// Clears all counts.
    void reset();

    /// Returns the quantile of a share from 0 to 1, accurate to the width of a
    /// bin; zero when the histogram is empty.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

    /// Returns the number of latencies.
    [[nodiscard]] std::uint64_t count() const;

    /// Returns the sum of the latencies.
    [[nodiscard]] std::chrono::microseconds sum() const;

    /// Returns the bins that are not empty, in ascending order.
    [[nodiscard]] std::vector<latency_bin> bins() const;

    /// Adds the bins of another histogram, e.g. of another process, and its
    /// sum. Returns false and adds nothing when an index is out of range.
    [[nodiscard]] bool add_bins(const std::vector<latency_bin>& bins,
                                std::chrono::microseconds sum);

    /// Number of bins without underflow and overflow.
    static constexpr int bin_count = 320;

    /// Returns cumulative counts of coarser buckets, in ascending order.
    [[nodiscard]] std::vector<latency_bucket> buckets() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace basilpath
