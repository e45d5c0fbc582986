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

/// A fault to inject and the leaves it affects.
struct fault_request
{
    /// Leaves named explicitly; ignored if `share` is set.
    std::vector<leaf_id> leaves;

    /// Share of the leaves to select at random with `seed`, 0 to 1.
    std::optional<double> share;
    std::uint64_t seed = 1;

    /// Restricts `share` to the leaves of this service unless empty.
    service_name service;

    /// Fault to add; if absent, all faults are cleared.
    std::optional<fault> new_fault;
};

/// Parses the request. Returns nothing and sets `*reason` if it does not have
/// the documented form. `now` is the start of the fault.
[[nodiscard]] std::optional<fault_request>
read_fault_request(const std::string& body,
                   std::chrono::steady_clock::time_point now,
                   std::string* reason);

} // namespace basilpath::standin
