#include "process/admission_limit.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr double limit_at_start = 32.0;
constexpr double limit_least = 2.0;
constexpr double limit_most = 4096.0;
constexpr double shrink_factor = 0.85;
constexpr double wait_smoothing = 0.1;
constexpr double in_use_share = 0.7;

} // namespace

wait_limit::wait_limit(microseconds target)
    : target(target), allowed(limit_at_start)
{
}

std::size_t wait_limit::limit() const
{
    return static_cast<std::size_t>(this->allowed);
}

void wait_limit::learn(const admission_sample& sample, microseconds now)
{
    const auto waited = static_cast<double>(sample.waited.count());
    this->smoothed_wait += wait_smoothing * (waited - this->smoothed_wait);
    const bool long_wait =
        this->smoothed_wait > static_cast<double>(this->target.count());
    if (long_wait && now - this->shrunk_at > sample.took)
    {
        this->allowed = std::max(limit_least, this->allowed * shrink_factor);
        this->shrunk_at = now;
    }
    else if (!long_wait && static_cast<double>(sample.in_progress) >=
                               this->allowed * in_use_share)
    {
        this->allowed =
            std::min(limit_most, this->allowed + 1.0 / this->allowed);
    }
}

} // namespace basilpath
