/// Load report of a leaf, which lags behind its load.
#pragma once

#include "standin/slot_queue.hpp"

#include <chrono>
#include <string>

namespace basilpath::standin
{

/// Caches the report and renews it only when it is at least as old as the lag.
class load_report
{
public:
    explicit load_report(std::chrono::milliseconds lag);

    /// Returns the JSON body of GET /v1/load.
    [[nodiscard]] const std::string&
    text(const slot_queue& slots, std::chrono::steady_clock::time_point now);

private:
    std::chrono::milliseconds lag;
    std::chrono::steady_clock::time_point taken_at{};
    std::string taken;
};

} // namespace basilpath::standin
