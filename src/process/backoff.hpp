/// Waiting longer after each failure, with jitter.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace basilpath
{

/// Doubles from `least` to `most`; each wait is drawn evenly from the upper
/// half of the present range, so that many who failed together spread out.
class backoff
{
public:
    using milliseconds = std::chrono::milliseconds;

    backoff(milliseconds least, milliseconds most)
        : least(least), most(most), range(least)
    {
    }

    /// The next wait, chosen by a random number.
    milliseconds next(std::uint64_t random)
    {
        const auto half = this->range.count() / 2;
        const milliseconds wait(
            half + static_cast<std::int64_t>(
                       random % static_cast<std::uint64_t>(half + 1)));
        this->range = std::min(this->range * 2, this->most);
        return wait;
    }

    /// Starts again from the least wait, after a success.
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
