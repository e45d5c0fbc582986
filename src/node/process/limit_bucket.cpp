#include "node/process/limit_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace basilpath
{

namespace
{

constexpr double microseconds_per_second = 1e6;

// Tolerates rounding errors: a token that has arrived counts as whole.
constexpr double rounding = 1e-9;

} // namespace

void limit_bucket::set(request_rate new_rate, double new_depth, instant now)
{
    this->tokens = std::min(this->tokens_at(now), new_depth);
    this->counted_at = now;
    this->rate = new_rate;
    this->depth = new_depth;
}

bool limit_bucket::try_take(instant now)
{
    const double available = this->tokens_at(now);
    if (!this->open() || available < 1.0 - rounding)
    {
        return false;
    }
    this->tokens = std::max(0.0, available - 1.0);
    this->counted_at = now;
    return true;
}

bool limit_bucket::open() const
{
    return this->depth >= 1.0 - rounding && this->rate.value > 0;
}

microseconds limit_bucket::wait(std::size_t queued, instant now) const
{
    if (!this->open())
    {
        return microseconds::max();
    }
    const double missing =
        static_cast<double>(queued) + 1.0 - this->tokens_at(now);
    return missing <= rounding
               ? microseconds(0)
               : microseconds(static_cast<std::int64_t>(std::ceil(
                     missing / this->rate.value * microseconds_per_second)));
}

double limit_bucket::tokens_at(instant now) const
{
    const double seconds =
        static_cast<double>((now - this->counted_at).count()) /
        microseconds_per_second;
    return std::min(this->depth,
                    this->tokens + this->rate.value * std::max(seconds, 0.0));
}

} // namespace basilpath
