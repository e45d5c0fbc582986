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

    /// Cumulative counts at a few edges, ascending.
    [[nodiscard]] std::vector<latency_bucket> buckets() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace basilpath
