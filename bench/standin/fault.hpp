/// Faults that a leaf can be told to show.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace basilpath::standin
{

enum class fault_kind : std::uint8_t
{
    slow,            ///< service times are `factor` times as long
    stall,           ///< nothing is read, worked on or answered
    drop_silently,   ///< connections open now never deliver again; new ones do
    drop_reply,      ///< the work is done and the reply never sent
    drop_connection, ///< the work is done and the connection closed unanswered
    crash,           ///< stops listening at once, for the time given
    crash_on_mark,   ///< crashes on a query with a true member `poison`
    garbage,         ///< answers bytes that are not HTTP
    truncate,        ///< answers half a body and closes
    wrong_echo,      ///< answers for another request
    wrong_version,   ///< answers from another index version
    late_duplicate,  ///< sends the answer a second time a little later
    lying_load,      ///< reports no load
    busy,            ///< sheds every request
    drain            ///< refuses new work as draining
};

/// One fault while it lasts.
struct fault
{
    fault_kind kind = fault_kind::slow;
    double factor = 10.0;

    /// Share of the requests that show the fault, 0 to 1.
    double chance = 1.0;

    std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::time_point::max();
};

/// The kind of this name, if there is one.
[[nodiscard]] std::optional<fault_kind> to_fault_kind(std::string_view name);

} // namespace basilpath::standin
