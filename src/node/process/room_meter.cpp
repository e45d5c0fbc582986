#include "node/process/room_meter.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Demand doubles within a second, and a request lasts some ten milliseconds.
constexpr microseconds decay_time = 300ms;

// Room is scarce from the upper share of answers with waiting calls on, until
// the lower share is reached.
constexpr double scarce_share = 0.5;
constexpr double spare_share = 0.3;

// Fewer answers than this do not represent the group.
constexpr double min_answers = 8.0;

// A belief lasts at least this long, which bounds the log lines about it.
constexpr microseconds min_belief_time = 200ms;

double decay(microseconds age)
{
    return std::exp(-static_cast<double>(std::max(age, 0us).count()) /
                    static_cast<double>(decay_time.count()));
}

} // namespace

bool room_meter::note(const replica_load& load, instant now)
{
    const double kept = decay(now - this->noted_at);
    this->noted_at = now;
    this->answers = this->answers * kept + 1.0;
    this->with_waiting =
        this->with_waiting * kept + (load.waiting > 0 ? 1.0 : 0.0);
    const double share = this->waiting_share();
    const bool next = this->answers >= min_answers &&
                      share >= (this->is_scarce ? spare_share : scarce_share);
    if (next == this->is_scarce || now < this->changed_at + min_belief_time)
    {
        return false;
    }
    this->is_scarce = next;
    this->changed_at = now;
    return true;
}

bool room_meter::scarce(instant now) const
{
    return this->is_scarce &&
           this->answers * decay(now - this->noted_at) >= min_answers / 2;
}

double room_meter::waiting_share() const
{
    return this->answers > 0.0 ? this->with_waiting / this->answers : 0.0;
}

} // namespace basilpath
