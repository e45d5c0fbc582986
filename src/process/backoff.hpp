/// Exponential backoff with jitter.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace basilpath
{

/// The range of a wait doubles from `least` to `most`. Each wait is uniform in
/// the upper half of the range, which spreads out retries after a common
/// failure.
class backoff
{
public:
    using milliseconds = std::chrono::milliseconds;

    backoff(milliseconds least, milliseconds most)
        : least(least), most(most), range(least)
    {
    }

    /// Returns the next wait; `random` selects it within the range.
    milliseconds next(std::uint64_t random)
    {
        const auto half = this->range.count() / 2;
        const milliseconds wait(
            half + static_cast<std::int64_t>(
                       random % static_cast<std::uint64_t>(half + 1)));
        this->range = std::min(this->range * 2, this->most);
        return wait;
    }

    /// Returns to the least wait after a success.
    void reset()
    {
        this->range = this->least;
    }

private:
    milliseconds least;
    milliseconds most;
    milliseconds range;
};

} // namespace basilpath
