#include "process/latency_histogram.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace basilpath
{

namespace
{

using std::chrono::microseconds;

constexpr double least_us = 10.0;
constexpr double most_us = 60e6;
constexpr int bin_count = latency_histogram::bin_count;
constexpr int bins_per_bucket = 16;

using log_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

using bin_counts = decltype(boost::histogram::make_histogram_with(
    std::vector<std::uint64_t>(), log_axis(bin_count, least_us, most_us)));

bin_counts make_bins()
{
    return boost::histogram::make_histogram_with(
        std::vector<std::uint64_t>(), log_axis(bin_count, least_us, most_us));
}

} // namespace

struct latency_histogram::implementation
{
    bin_counts counts = make_bins();
    std::uint64_t total = 0;
    microseconds sum{0};
};

latency_histogram::latency_histogram()
    : self(std::make_unique<implementation>())
{
}

latency_histogram::~latency_histogram() = default;

latency_histogram::latency_histogram(const latency_histogram& other)
    : self(std::make_unique<implementation>(*other.self))
{
}

latency_histogram& latency_histogram::operator=(const latency_histogram& other)
{
    *this->self = *other.self;
    return *this;
}

latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;

latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(microseconds latency)
{
    this->self->counts(static_cast<double>(latency.count()));
    this->self->total += 1;
    this->self->sum += latency;
}

void latency_histogram::merge(const latency_histogram& other)
{
    this->self->counts += other.self->counts;
    this->self->total += other.self->total;
    this->self->sum += other.self->sum;
}

void latency_histogram::reset()
{
    *this->self = implementation();
}

microseconds latency_histogram::quantile(double share) const
{
    assert(share >= 0.0 && share <= 1.0);
    if (this->self->total == 0)
    {
        return microseconds(0);
    }
    // Step 1. Find the bin of the wanted rank, from the underflow bin -1 to the
    // overflow bin `bin_count`.
    const double rank = share * static_cast<double>(this->self->total);
    double before = 0.0;
    int bin = -1;
    double inside = static_cast<double>(this->self->counts.at(bin));
    while (before + inside < rank && bin < bin_count)
    {
        before += inside;
        ++bin;
        inside = static_cast<double>(this->self->counts.at(bin));
    }
    // Step 2. Interpolate within the bin.
    const auto& axis = this->self->counts.axis();
    const double part = inside > 0.0 ? (rank - before) / inside : 0.0;
    const double value = std::clamp(
        axis.value(bin + std::clamp(part, 0.0, 1.0)), least_us, most_us);
    return microseconds(std::llround(value));
}

std::uint64_t latency_histogram::count() const
{
    return this->self->total;
}

microseconds latency_histogram::sum() const
{
    return this->self->sum;
}

std::vector<latency_bin> latency_histogram::bins() const
{
    std::vector<latency_bin> result;
    for (int bin = -1; bin <= bin_count; ++bin)
    {
        if (const std::uint64_t count = this->self->counts.at(bin); count > 0)
        {
            result.push_back({bin, count});
        }
    }
    return result;
}

bool latency_histogram::add_bins(const std::vector<latency_bin>& bins,
                                 microseconds sum)
{
    const auto on_scale = [](const latency_bin& bin)
    {
        return bin.index >= -1 && bin.index <= bin_count;
    };
    if (!std::ranges::all_of(bins, on_scale))
    {
        return false;
    }
    for (const latency_bin& bin : bins)
    {
        this->self->counts.at(bin.index) += bin.count;
        this->self->total += bin.count;
    }
    this->self->sum += sum;
    return true;
}

std::vector<latency_bucket> latency_histogram::buckets() const
{
    std::vector<latency_bucket> result;
    std::uint64_t below = this->self->counts.at(-1);
    for (int bin = 0; bin < bin_count; ++bin)
    {
        below += this->self->counts.at(bin);
        if ((bin + 1) % bins_per_bucket == 0)
        {
            const double edge = this->self->counts.axis().bin(bin).upper();
            result.push_back({microseconds(std::llround(edge)), below});
        }
    }
    return result;
}

} // namespace basilpath
