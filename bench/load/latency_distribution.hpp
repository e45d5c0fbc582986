/// Distribution of latencies with a fixed relative error.
#pragma once

#include "version/ids.hpp"

#include <boost/histogram.hpp>

namespace basilpath::load
{

/// Logarithmic histogram from 10 us to 60 s with bins of one percent.
class latency_distribution
{
public:
    latency_distribution();

    void record(microseconds latency);

    [[nodiscard]] std::uint64_t count() const;

    /// Latency that a fraction `share` of the records does not exceed; zero if
    /// there are no records.
    [[nodiscard]] microseconds quantile(double share) const;

private:
    using axis_type =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;

    std::uint64_t records = 0;
    boost::histogram::histogram<std::tuple<axis_type>> bins;
};

} // namespace basilpath::load
