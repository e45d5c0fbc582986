#include "process/admission_limit.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

namespace
{

// Well above the concurrency of a host under normal load.
constexpr double initial_limit = 16.0;

// Bounds the growth during long periods of short delays.
constexpr double max_limit = 4096.0;

// Share of the requests in progress that each decrease keeps at least, however
// long the delays: the next samples show whether that is enough.
constexpr double min_decrease_factor = 0.4;

// Weight of one request in the moving averages, which cover about the last
// five.
constexpr double smoothing = 0.2;

// The limit grows only while this share of it is in use.
constexpr double growth_use_share = 0.7;

// The limit is at most this multiple of the recent peak of requests in
// progress.
constexpr double headroom_factor = 2.0;

// The recent peak covers this window and the one before it.
constexpr std::chrono::seconds peak_window{5};

} // namespace

wait_limit::wait_limit(const limit_bounds& bounds)
    : bounds(bounds), allowed(initial_limit)
{
}

std::size_t wait_limit::limit() const
{
    return static_cast<std::size_t>(this->allowed);
}

void wait_limit::learn(const admission_sample& sample, microseconds now)
{
    this->track_use(sample.in_progress, now);
    if (now - sample.took < this->decreased_at)
    {
        return;
    }
    const auto waited = static_cast<double>(sample.waited.count());
    const auto served = static_cast<double>(sample.took.count()) - waited;
    const auto target = static_cast<double>(sample.target.count());
    this->smoothed_wait += smoothing * (waited - this->smoothed_wait);
    this->smoothed_target += smoothing * (target - this->smoothed_target);
    this->smoothed_service += smoothing * (served - this->smoothed_service);
    if (this->smoothed_wait > this->smoothed_target)
    {
        this->decrease(sample, now);
    }
    else if (static_cast<double>(sample.in_progress) >=
             static_cast<double>(this->limit()) * growth_use_share)
    {
        this->allowed =
            std::min(max_limit, this->allowed + 1.0 / this->allowed);
    }
}

// Lowers the limit to the concurrency whose delay meets the target.
void wait_limit::decrease(const admission_sample& sample, microseconds now)
{
    const double wanted = this->smoothed_target;
    const double factor =
        (this->smoothed_service + wanted) /
        std::max(1.0, this->smoothed_service + this->smoothed_wait);
    const double in_use =
        std::min(this->allowed, static_cast<double>(sample.in_progress));
    this->allowed = std::max(this->bounds.least,
                             in_use * std::max(min_decrease_factor, factor));
    this->smoothed_wait = wanted / 2.0;
    this->decreased_at = now;
}

// Caps the limit by the peak of the last two windows; there is no cap before
// the end of the first.
void wait_limit::track_use(std::size_t in_progress, microseconds now)
{
    const bool first = !this->window_end || this->previous_peak == 0;
    if (!this->window_end)
    {
        this->window_end = now + peak_window;
    }
    if (now >= *this->window_end)
    {
        this->previous_peak = this->window_peak;
        this->window_peak = 0;
        this->window_end = now + peak_window;
    }
    this->window_peak = std::max(this->window_peak, in_progress);
    if (first)
    {
        return;
    }
    const auto peak =
        static_cast<double>(std::max(this->window_peak, this->previous_peak));
    const double room =
        std::max(this->bounds.least_room, peak * headroom_factor);
    this->allowed = std::min(this->allowed, room);
}

} // namespace basilpath
