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
    /// `share` is the number of extra attempts each first attempt earns.
    explicit attempt_budget(double share = 0.0) : share(share) {}

    /// Changes the share; what has been earned stays.
    void set_share(double wanted);

    /// Earns for one first attempt.
    void note_first();

    /// Spends one extra attempt; false when the budget does not hold one.
    bool take();

    /// Extra attempts spent so far.
    [[nodiscard]] std::uint64_t spent() const;

private:
    double share;
    double earned = 2.0;
    std::uint64_t taken = 0;
};

} // namespace basilpath
