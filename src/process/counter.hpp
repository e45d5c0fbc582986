/// A metric that only grows.
#pragma once

#include <cstdint>

namespace basilpath
{

/// Counts events; used on one thread.
class counter
{
public:
    /// Counts `amount` more events.
    void add(std::uint64_t amount = 1)
    {
        this->total += amount;
    }

    /// Events counted since the process started.
    [[nodiscard]] std::uint64_t value() const
    {
        return this->total;
    }

private:
    std::uint64_t total = 0;
};

} // namespace basilpath
