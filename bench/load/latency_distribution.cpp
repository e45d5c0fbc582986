#include "load/latency_distribution.hpp"

#include <algorithm>
#include <cmath>

namespace basilpath::load
{

namespace
{

constexpr unsigned bin_count = 1560;
constexpr double lower_bound_us = 10.0;
constexpr double upper_bound_us = 60e6;

} // namespace

latency_distribution::latency_distribution()
    : bins(boost::histogram::make_histogram(
          axis_type(bin_count, lower_bound_us, upper_bound_us)))
{
}

void latency_distribution::record(microseconds latency)
{
    const auto us = static_cast<double>(latency.count());
    this->bins(std::clamp(us, lower_bound_us, upper_bound_us * 0.999));
    ++this->records;
}

std::uint64_t latency_distribution::count() const
{
    return this->records;
}

microseconds latency_distribution::quantile(double share) const
{
    const double wanted = share * static_cast<double>(this->records);
    double seen = 0.0;
    for (unsigned bin = 0; bin < bin_count; ++bin)
    {
        seen += this->bins.at(static_cast<int>(bin));
        if (seen > 0.0 && seen >= wanted)
        {
            const auto& edges = this->bins.axis();
            const double middle = edges.value(static_cast<double>(bin) + 0.5);
            return microseconds(std::llround(middle));
        }
    }
    return microseconds(0);
}

} // namespace basilpath::load
