#include "connection/delay_estimate.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr std::chrono::seconds window_length{30};

} // namespace

microseconds delay_estimate::observe(microseconds sent, time_point now)
{
    const auto difference =
        std::chrono::duration_cast<microseconds>(now.time_since_epoch()) - sent;
    if (!this->any)
    {
        this->any = true;
        this->least = difference;
        this->least_of_window = difference;
        this->window_end = now + window_length;
    }
    if (now >= this->window_end)
    {
        // Clocks drift apart: only the last two windows count.
        this->least = std::min(this->least_of_window, difference);
        this->least_of_window = difference;
        this->window_end = now + window_length;
    }
    this->least_of_window = std::min(this->least_of_window, difference);
    this->least = std::min(this->least, difference);
    return difference - this->least;
}

} // namespace basilpath
