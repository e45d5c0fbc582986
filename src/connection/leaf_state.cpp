#include "connection/leaf_state.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr microseconds busy_pause_least = 2ms;
constexpr microseconds busy_pause_most = 50ms;
constexpr int mean_weight = 8;

} // namespace

std::uint32_t leaf_state::request_limit() const
{
    return std::min(this->slots, this->connection_limit);
}

bool leaf_state::has_room(instant now) const
{
    return !this->leaving && this->in_use < this->request_limit() &&
           now >= this->paused_until;
}

void leaf_state::note_busy(instant now)
{
    this->pause =
        std::clamp(2 * this->pause, busy_pause_least, busy_pause_most);
    this->paused_until = now + this->pause;
}

void leaf_state::note_served(instant, microseconds elapsed)
{
    this->pause = microseconds(0);
    this->mean = this->mean == microseconds(0)
                     ? elapsed
                     : this->mean + (elapsed - this->mean) / mean_weight;
}

instant leaf_state::busy_until() const
{
    return this->paused_until;
}

microseconds leaf_state::expected() const
{
    return this->mean;
}

} // namespace basilpath
