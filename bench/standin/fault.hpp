/// Faults that can be injected into a leaf.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace basilpath::standin
{

enum class fault_kind : std::uint8_t
{
    slow,            ///< multiplies service times by `factor`
    stall,           ///< neither reads, processes nor answers
    drop_silently,   ///< ignores requests on open connections, not on new ones
    drop_reply,      ///< does the work and never replies
    drop_connection, ///< does the work and closes without a reply
    crash,           ///< stops listening until the fault ends
    crash_on_mark,   ///< crashes on a query whose `poison` is true
    garbage,         ///< replies with bytes that are not HTTP
    truncate,        ///< sends half of the body and closes
    wrong_echo,      ///< echoes another request id
    wrong_version,   ///< echoes another index version
    late_duplicate,  ///< sends the reply again after a short delay
    lying_load,      ///< reports zero load
    busy,            ///< sheds every request
    drain            ///< refuses requests as draining
};

/// One injected fault with its parameters.
struct fault
{
    fault_kind kind = fault_kind::slow;
    double factor = 10.0;

    /// Probability that a request is affected, 0 to 1.
    double chance = 1.0;

    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::time_point::max();
};

/// Parses the name of a fault kind; nothing if it is unknown.
[[nodiscard]] std::optional<fault_kind> to_fault_kind(std::string_view name);

} // namespace basilpath::standin
