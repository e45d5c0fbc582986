#include "node/process/crash_detector.hpp"

#include "node/request/caller_query.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Strikes before the one that leads to quarantine.
constexpr std::size_t strikes_allowed = 2;

// A call that breaks and a refused connection this close together are one
// crash: the next connection is tried at once.
constexpr microseconds same_crash_time = 1s;

// Strikes are remembered to tell news from what is known, for as long as the
// table keeps a suspect.
constexpr microseconds strike_memory = 60s;

// Most calls that are remembered as broken.
constexpr std::size_t broken_limit = 1'000;

} // namespace

fingerprint fingerprint_of(const caller_query& query)
{
    const std::string text = query.method + '\n' + query.host + '\n' +
                             query.target + '\n' + query.body;
    // Zero stands for no fingerprint.
    return fingerprint(XXH3_64bits(text.data(), text.size()) | 1U);
}

crash_detector::crash_detector(listener on_strike)
    : on_strike(std::move(on_strike)), table(0, strikes_allowed)
{
}

void crash_detector::note_broken(fingerprint request_fingerprint,
                                 const leaf_id& replica, instant now)
{
    const auto down = this->down_at.find(replica);
    if (down != this->down_at.end() && now - down->second < same_crash_time)
    {
        this->strike({request_fingerprint, replica, now});
        return;
    }
    this->broken.push_back({request_fingerprint, replica, now});
    this->forget_before(now - same_crash_time);
}

void crash_detector::note_end(const caller_query& query, bool answered,
                              std::span<const leaf_id> broken, instant now)
{
    if (broken.empty())
    {
        return;
    }
    const fingerprint request_fingerprint = fingerprint_of(query);
    if (answered)
    {
        this->note_served(request_fingerprint);
        return;
    }
    for (const leaf_id& one : broken)
    {
        this->note_broken(request_fingerprint, one, now);
    }
}

void crash_detector::note_down(const leaf_id& replica, instant now)
{
    this->forget_before(now - same_crash_time);
    this->down_at[replica] = now;
    std::deque<suspected_crash> found;
    std::ranges::copy_if(this->broken, std::back_inserter(found),
                         [&replica](const suspected_crash& one)
                         { return one.replica == replica; });
    std::erase_if(this->broken, [&replica](const suspected_crash& one)
                  { return one.replica == replica; });
    for (const suspected_crash& one : found)
    {
        this->strike(one);
    }
}

void crash_detector::note_served(fingerprint request_fingerprint)
{
    std::erase_if(this->broken,
                  [request_fingerprint](const suspected_crash& one)
                  { return one.request_fingerprint == request_fingerprint; });
    this->table.note_served(request_fingerprint);
}

bool crash_detector::merge(const suspected_crash& strike)
{
    const bool known = std::ranges::any_of(
        this->suspected_crashes,
        [&strike](const suspected_crash& one)
        {
            return one.request_fingerprint == strike.request_fingerprint &&
                   one.replica == strike.replica &&
                   std::chrono::abs(one.at - strike.at) < same_crash_time;
        });
    if (known)
    {
        return false;
    }
    this->suspected_crashes.push_back(strike);
    this->table.note_crash(strike.request_fingerprint, strike.replica,
                           strike.at, standing::unknown);
    return true;
}

bool crash_detector::quarantined(fingerprint request_fingerprint, instant now)
{
    return this->table.look_up(request_fingerprint, now) ==
           standing::quarantined;
}

void crash_detector::strike(const suspected_crash& one)
{
    if (this->merge(one))
    {
        this->on_strike(one);
    }
}

void crash_detector::forget_before(instant time)
{
    std::erase_if(this->broken,
                  [time](const suspected_crash& one) { return one.at < time; });
    if (this->broken.size() > broken_limit)
    {
        this->broken.pop_front();
    }
    std::erase_if(this->down_at,
                  [time](const auto& one) { return one.second < time; });
    const instant oldest = time - strike_memory;
    std::erase_if(this->suspected_crashes, [oldest](const suspected_crash& one)
                  { return one.at < oldest; });
}

} // namespace basilpath
