#include "process/pause_watch.hpp"

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

/// A gap of several ticks of the relay's own timer.
constexpr std::chrono::microseconds pause_limit = 150ms;

} // namespace

bool pause_watch::note(instant now)
{
    const bool paused = this->last && now - *this->last > pause_limit;
    this->last = now;
    if (paused)
    {
        this->resumed = now;
    }
    return paused;
}

bool pause_watch::paused_since(instant start) const
{
    return this->resumed && start < *this->resumed;
}

} // namespace basilpath
