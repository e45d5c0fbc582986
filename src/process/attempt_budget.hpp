/// A budget of extra attempts, as a share of first attempts.
#pragma once

#include <cstdint>

namespace basilpath
{

/// First attempts earn, extra attempts spend. What is earned and not spent is
/// kept up to a small bound, so that a quiet hour cannot pay for a storm.
class attempt_budget
{
public:
    /// `start` extra attempts may be spent before any has been earned.
    explicit attempt_budget(double start) : earned(start) {}

    /// Sets how many extra attempts each first attempt earns.
    void set_share(double wanted);

    /// Earns for one first attempt.
    void note_first();

    /// Spends one extra attempt; false when the budget does not hold one.
    bool take();

    /// Extra attempts spent so far.
    [[nodiscard]] std::uint64_t spent() const;

private:
    double share = 0.0;
    double earned;
    std::uint64_t taken = 0;
};

} // namespace basilpath
