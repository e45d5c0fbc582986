/// The faults that one leaf shows at present.
#pragma once

#include "standin/fault.hpp"

#include <chrono>
#include <optional>
#include <vector>

namespace basilpath::standin
{

/// At most one fault of each kind.
class fault_set
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Adds a fault in place of one of the same kind.
    void add(const fault& one);

    void clear();

    /// The fault of this kind that has not ended at `now`.
    [[nodiscard]] std::optional<fault> find(fault_kind kind,
                                            time_point now) const;

    /// Tells whether a request shows the fault; `draw` is uniform in [0, 1).
    [[nodiscard]] bool strikes(fault_kind kind, time_point now,
                               double draw) const;

private:
    std::vector<fault> faults;
};

} // namespace basilpath::standin
