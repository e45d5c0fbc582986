#include "process/latency_tracker.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace basilpath
{

namespace
{

namespace bh = boost::histogram;
using namespace std::chrono_literals;

constexpr unsigned bins = 128;
constexpr double least_us = 50.0;
constexpr double most_us = 60'000'000.0;
constexpr std::chrono::seconds window_length = 5s;
constexpr std::size_t min_samples = 20;
constexpr microseconds refresh_interval = 20ms;

using axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram =
    bh::histogram<std::tuple<axis>, bh::dense_storage<std::uint32_t>>;

/// Samples of one window.
struct window
{
    histogram counts{std::tuple(axis(bins, least_us, most_us))};
    std::size_t samples = 0;
    microseconds best = microseconds::max();

    void clear()
    {
        this->counts.reset();
        this->samples = 0;
        this->best = microseconds::max();
    }
};

} // namespace

struct latency_tracker::windows
{
    window current;
    window previous;
    std::optional<instant> started;
    instant latest;

    /// Cumulative counts, recomputed at most once per refresh interval.
    std::vector<std::uint64_t> cumulative = std::vector<std::uint64_t>(bins);
    std::optional<instant> refreshed;

    void refresh()
    {
        if (this->refreshed &&
            this->latest - *this->refreshed < refresh_interval &&
            this->cumulative.back() >= min_samples)
        {
            return;
        }
        this->refreshed = this->latest;
        std::uint64_t total = 0;
        for (unsigned i = 0; i < bins; ++i)
        {
            const auto index = static_cast<int>(i);
            total += this->current.counts.at(index);
            total += this->previous.counts.at(index);
            this->cumulative[i] = total;
        }
    }
};

latency_tracker::latency_tracker() : self(std::make_unique<windows>()) {}

latency_tracker::~latency_tracker() = default;

void latency_tracker::record(instant now, microseconds latency)
{
    windows& w = *this->self;
    w.latest = now;
    if (!w.started || now - *w.started >= window_length)
    {
        const bool stale = !w.started || now - *w.started >= 2 * window_length;
        std::swap(w.previous, w.current);
        w.current.clear();
        if (stale)
        {
            w.previous.clear();
        }
        w.started = now;
    }
    const auto sample = static_cast<double>(latency.count());
    w.current.counts(std::clamp(sample, least_us, most_us / 2));
    ++w.current.samples;
    w.current.best = std::min(w.current.best, latency);
}

std::optional<microseconds> latency_tracker::quantile(double share) const
{
    windows& w = *this->self;
    if (w.current.samples + w.previous.samples < min_samples)
    {
        return std::nullopt;
    }
    w.refresh();
    const auto wanted = share * static_cast<double>(w.cumulative.back());
    const auto found =
        std::ranges::find_if(w.cumulative, [wanted](std::uint64_t count)
                             { return static_cast<double>(count) >= wanted; });
    const auto bin = static_cast<int>(found - w.cumulative.begin());
    const double upper = w.current.counts.axis().value(bin + 1);
    return microseconds(static_cast<std::int64_t>(upper));
}

std::optional<microseconds> latency_tracker::best() const
{
    const auto least =
        std::min(this->self->current.best, this->self->previous.best);
    if (this->self->current.samples + this->self->previous.samples <
        min_samples)
    {
        return std::nullopt;
    }
    return least;
}

void latency_tracker::clear()
{
    this->self = std::make_unique<windows>();
}

} // namespace basilpath
