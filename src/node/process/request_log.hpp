/// Which requests are logged, and how.
#pragma once

#include "node/request/decision_trace.hpp"
#include "process/instant.hpp"

#include <cstdint>

namespace basilpath
{

/// Logs requests whole or not at all: those that went wrong as long as the
/// volume allows, the others now and then. Answers the load in which so much
/// goes wrong that logging all of it would take the processor from the rest.
class request_log
{
public:
    /// Logs a request that has ended, with its decisions, if it is chosen.
    void note(const request_summary& summary, const decision_trace& trace,
              instant now);

    /// Requests that were not logged although they went wrong.
    [[nodiscard]] std::uint64_t dropped() const
    {
        return this->dropped_count;
    }

private:
    [[nodiscard]] bool choose(const request_summary& summary, std::size_t lines,
                              instant now);

    /// Lines that may be written now.
    double allowance = 0;
    instant filled_at{};
    std::uint64_t dropped_count = 0;
    std::uint64_t dropped_told = 0;
};

/// Whether a request that went well is logged: the same answer on every host
/// and for every line of the request.
[[nodiscard]] bool is_sampled(const request_id& id);

} // namespace basilpath
