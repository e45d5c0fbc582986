#include "connection/leaf_state.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr microseconds busy_pause_least = 2ms;
constexpr microseconds busy_pause_most = 200ms;
constexpr microseconds lost_pause_least = 20ms;
constexpr microseconds lost_pause_most = 500ms;

/// Served requests after which a restarted leaf gets one more at a time.
constexpr std::uint32_t served_per_step = 8;

/// How long suspected connections are remembered; by then libcurl has closed
/// every connection that stayed unused.
constexpr microseconds suspicion_time = 150s;

} // namespace

std::uint32_t leaf_state::request_limit() const
{
    const std::uint32_t limit = std::min(this->slots, this->connection_limit);
    return std::min(limit, this->ramp.value_or(limit));
}

bool leaf_state::open() const
{
    return !this->leaving && !this->draining;
}

bool leaf_state::has_room(instant now) const
{
    return this->usable(now) && !this->reserved &&
           this->in_use < this->request_limit();
}

bool leaf_state::usable(instant now) const
{
    return this->open() && now >= this->pause_end;
}

void leaf_state::note_busy(instant now)
{
    this->pause =
        std::clamp(2 * this->pause, busy_pause_least, busy_pause_most);
    this->pause_end = now + this->pause;
}

void leaf_state::note_lost(instant now)
{
    this->pause =
        std::clamp(2 * this->pause, lost_pause_least, lost_pause_most);
    this->pause_end = now + this->pause;
    this->ramp = 1;
    this->served_at_step = 0;
}

void leaf_state::note_served()
{
    this->pause = microseconds(0);
    if (this->ramp && ++this->served_at_step >= served_per_step)
    {
        this->served_at_step = 0;
        ++*this->ramp;
        if (*this->ramp >= this->slots)
        {
            this->ramp.reset();
        }
    }
}

instant leaf_state::paused_until() const
{
    return this->pause_end;
}

void leaf_state::suspect_connections(instant now)
{
    this->suspected_at = now;
}

std::chrono::seconds leaf_state::connection_age_limit(instant now) const
{
    if (!this->suspected_at || now - *this->suspected_at > suspicion_time)
    {
        return 0s;
    }
    return std::max(1s, std::chrono::floor<std::chrono::seconds>(
                            now - *this->suspected_at));
}

} // namespace basilpath
