/// How many calls to the platform an agent may make.
#pragma once

#include <algorithm>
#include <chrono>

namespace basilpath
{

/// A token bucket: `calls_per_second` in the long run, `burst` at once.
template <class Clock>
class call_budget
{
public:
    using time_point = typename Clock::time_point;
    using seconds = std::chrono::duration<double>;

    call_budget(double calls_per_second, double burst, time_point now)
        : calls_per_second(calls_per_second), burst(burst), tokens(burst),
          filled_at(now)
    {
    }

    /// Takes one call out of the budget; false when none is left.
    bool take(time_point now)
    {
        const double earned =
            seconds(now - this->filled_at).count() * this->calls_per_second;
        this->tokens = std::min(this->burst, this->tokens + earned);
        this->filled_at = now;
        if (this->tokens < 1.0)
        {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double calls_per_second;
    double burst;
    double tokens;
    time_point filled_at;
};

} // namespace basilpath
