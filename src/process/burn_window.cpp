#include "process/burn_window.hpp"

#include <algorithm>
#include <cassert>

namespace basilpath
{

namespace
{

constexpr std::size_t slot_count = 1'440;

} // namespace

burn_window::burn_window(double scale)
    : slot_length(std::max(
          std::chrono::microseconds(1),
          std::chrono::duration_cast<std::chrono::microseconds>(
              burn_windows.back() * scale / static_cast<double>(slot_count)))),
      slots(slot_count)
{
    assert(scale > 0.0);
}

void burn_window::record(bool served, std::chrono::microseconds now)
{
    const std::int64_t number = now / this->slot_length;
    slot& current =
        this->slots[static_cast<std::uint64_t>(number) % slot_count];
    if (current.number != number)
    {
        current = {number, 0, 0};
    }
    current.total += 1;
    current.served += served ? 1 : 0;
}

burn_counts burn_window::counts(std::size_t window,
                                std::chrono::microseconds now) const
{
    const std::int64_t last = now / this->slot_length;
    const auto length =
        static_cast<std::int64_t>(slot_count * burn_windows.at(window).count() /
                                  burn_windows.back().count());
    burn_counts sum;
    for (const slot& one : this->slots)
    {
        if (one.number > last - length && one.number <= last)
        {
            sum += {one.total, one.served};
        }
    }
    return sum;
}

} // namespace basilpath
