/// How many requests were served in the last minutes and hours.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace basilpath
{

/// Requests that came and those of them that were served.
struct burn_counts
{
    std::uint64_t total = 0;
    std::uint64_t served = 0;

    burn_counts& operator+=(const burn_counts& other)
    {
        this->total += other.total;
        this->served += other.served;
        return *this;
    }

    bool operator==(const burn_counts&) const = default;
};

/// The windows of the burn report, before they are scaled: two short ones for
/// what is happening now, two long ones for what has built up.
inline constexpr std::array<std::chrono::seconds, 4> burn_windows = {
    std::chrono::minutes(5), std::chrono::minutes(30), std::chrono::hours(1),
    std::chrono::hours(6)};

/// Counts in a ring of slots, of which the longest window has 1440. A window
/// is right to the length of one slot.
class burn_window
{
public:
    /// `scale` shortens all windows, e.g. for tests.
    explicit burn_window(double scale);

    /// Counts one request at a time since any fixed moment.
    void record(bool served, std::chrono::microseconds now);

    /// Counts of the window of this index that ends now.
    [[nodiscard]] burn_counts counts(std::size_t window,
                                     std::chrono::microseconds now) const;

private:
    /// What one slot of time holds.
    struct slot
    {
        std::int64_t number = -1;
        std::uint32_t total = 0;
        std::uint32_t served = 0;
    };

    std::chrono::microseconds slot_length;
    std::vector<slot> slots;
};

} // namespace basilpath
