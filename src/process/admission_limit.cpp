#include "process/admission_limit.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

namespace
{

// Requests let in before anything has been learned. Not measured: well above
// what a host has under way on a calm day.
constexpr double limit_at_start = 16.0;

// Bounds the growth in a long calm. Not measured.
constexpr double limit_most = 4096.0;

// Part of the requests in progress that is kept at each fall, however long the
// waits were: the next samples tell whether that is enough.
constexpr double least_fall = 0.4;

// Weight of one request in the averages: about the last five count.
constexpr double smoothing = 0.2;

// A limit grows only while this part of it is in use.
constexpr double in_use_share = 0.7;

// The limit stays within this many times what was lately in use.
constexpr double room_above_use = 2.0;

// Lately: this window and the one before it. Not measured.
constexpr std::chrono::seconds use_window{5};

} // namespace

wait_limit::wait_limit(const limit_bounds& bounds)
    : bounds(bounds), allowed(limit_at_start)
{
}

std::size_t wait_limit::limit() const
{
    return static_cast<std::size_t>(this->allowed);
}

void wait_limit::learn(const admission_sample& sample, microseconds now)
{
    this->note_use(sample.in_progress, now);
    if (now - sample.took < this->fallen_at)
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
        this->fall(sample, now);
    }
    else if (static_cast<double>(sample.in_progress) >=
             static_cast<double>(this->limit()) * in_use_share)
    {
        this->allowed =
            std::min(limit_most, this->allowed + 1.0 / this->allowed);
    }
}

// Lowers the limit to what would wait as long as the target.
void wait_limit::fall(const admission_sample& sample, microseconds now)
{
    const double wanted = this->smoothed_target;
    const double factor =
        (this->smoothed_service + wanted) /
        std::max(1.0, this->smoothed_service + this->smoothed_wait);
    const double in_use =
        std::min(this->allowed, static_cast<double>(sample.in_progress));
    this->allowed =
        std::max(this->bounds.least, in_use * std::max(least_fall, factor));
    this->smoothed_wait = wanted / 2.0;
    this->fallen_at = now;
}

// Keeps the limit near what was in use in the last two windows. Before the end
// of the first nothing is known of that.
void wait_limit::note_use(std::size_t in_progress, microseconds now)
{
    const bool first = !this->window_end || this->most_before == 0;
    if (!this->window_end)
    {
        this->window_end = now + use_window;
    }
    if (now >= *this->window_end)
    {
        this->most_before = this->most_of_window;
        this->most_of_window = 0;
        this->window_end = now + use_window;
    }
    this->most_of_window = std::max(this->most_of_window, in_progress);
    if (first)
    {
        return;
    }
    const auto most =
        static_cast<double>(std::max(this->most_of_window, this->most_before));
    const double room =
        std::max(this->bounds.least_room, most * room_above_use);
    this->allowed = std::min(this->allowed, room);
}

} // namespace basilpath
