/// A monotonic counter.
#pragma once

#include <cstdint>

namespace basilpath
{

/// Counts events. Not thread-safe.
class counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        this->total += amount;
    }

    /// Returns the number of events since the process started.
    [[nodiscard]] std::uint64_t value() const
    {
        return this->total;
    }

private:
    std::uint64_t total = 0;
};

} // namespace basilpath
