/// How much slower cold replicas answer.
#pragma once

#include <algorithm>

namespace basilpath
{

/// Mean ratio of the latency of cold replicas to their usual one, over all
/// replicas of a host. Needed since a replica is cold for too short a time to
/// learn its own.
class cold_speed
{
public:
    /// Records the ratio of one answer of a cold replica.
    void note(double ratio)
    {
        this->mean +=
            weight * (std::clamp(ratio, 1.0, max_slowdown) - this->mean);
    }

    [[nodiscard]] double slowdown() const
    {
        return this->mean;
    }

private:
    static constexpr double weight = 0.05;

    /// Limit on one answer, which may be late for other reasons.
    static constexpr double max_slowdown = 5.0;

    /// Assumed before the first answer of a cold replica.
    double mean = 1.6;
};

} // namespace basilpath
