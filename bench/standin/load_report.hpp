/// What a leaf tells of its load, which lags.
#pragma once

#include "standin/slot_queue.hpp"

#include <chrono>
#include <string>

namespace basilpath::standin
{

/// Looks at the slots no more often than the lag allows.
class load_report
{
public:
    explicit load_report(std::chrono::milliseconds lag);

    /// The JSON body of GET /v1/load.
    [[nodiscard]] const std::string&
    text(const slot_queue& slots, std::chrono::steady_clock::time_point now);

private:
    std::chrono::milliseconds lag;
    std::chrono::steady_clock::time_point taken_at{};
    std::string taken;
};

} // namespace basilpath::standin
