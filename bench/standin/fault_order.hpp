/// The body of POST /standin/fault.
#pragma once

#include "standin/fault.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace basilpath::standin
{

/// Which leaves show which fault.
struct fault_order
{
    /// Leaves by name, or a share of them chosen by the seed.
    std::vector<leaf_id> leaves;
    std::optional<double> share;
    std::uint64_t seed = 1;

    /// Limits the share to the leaves of one service, when not empty.
    service_name service;

    /// Nothing when all faults are to end.
    std::optional<fault> what;
};

/// Reads an order; nothing, with a reason in `*reason`, when it is not of the
/// documented form. `now` is when the fault begins.
[[nodiscard]] std::optional<fault_order>
read_fault_order(const std::string& body,
                 std::chrono::steady_clock::time_point now,
                 std::string* reason);

} // namespace basilpath::standin
