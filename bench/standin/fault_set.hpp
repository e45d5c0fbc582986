/// The faults injected into one leaf.
#pragma once

#include "standin/fault.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace basilpath::standin
{

/// Holds at most one fault of each kind.
class fault_set
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Adds a fault, replacing one of the same kind.
    void add(const fault& one);

    void clear();

    /// Returns the fault of this kind that is active at `now`, if any.
    [[nodiscard]] std::optional<fault> find(fault_kind kind,
                                            time_point now) const;

    /// Returns whether the fault affects a request; `draw` is uniform in [0,
    /// 1).
    [[nodiscard]] bool applies(fault_kind kind, time_point now,
                               double draw) const;

private:
    std::vector<fault> faults;
};

} // namespace basilpath::standin
