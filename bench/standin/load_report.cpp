#include "standin/load_report.hpp"

#include <fmt/format.h>

namespace basilpath::standin
{

load_report::load_report(std::chrono::milliseconds lag) : lag(lag) {}

const std::string& load_report::text(const slot_queue& slots,
                                     std::chrono::steady_clock::time_point now)
{
    if (this->taken.empty() || now - this->taken_at >= this->lag)
    {
        this->taken_at = now;
        this->taken = fmt::format("{{\"in_use\":{},\"queued\":{}}}",
                                  slots.running(), slots.waiting());
    }
    return this->taken;
}

} // namespace basilpath::standin
