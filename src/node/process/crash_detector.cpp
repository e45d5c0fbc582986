#include "node/process/crash_detector.hpp"

#include "node/request/broken_call.hpp"
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

// Crashes before the one that leads to quarantine.
constexpr std::size_t crashes_allowed = 2;

// Crashes are kept this long to detect duplicates: as long as the quarantine
// table keeps a suspect.
constexpr microseconds suspected_crash_retention = 60s;

constexpr std::size_t broken_call_limit = 1'000;

// How long a refused connection is kept: longer than a query may last.
constexpr microseconds refusal_retention = 60s;

// Refused connections to one replica that are closer together are kept as one.
constexpr microseconds refusal_interval = 100ms;

// A quarantine that ends sooner is not adopted. Hosts would pass it back and
// forth, each a little longer by the delay of the message.
constexpr microseconds min_adopted_time = 2s;

constexpr microseconds max_quarantine = 30min;

// How long after its quarantine a request counts as one that crashes replicas.
constexpr microseconds period_retention = 30min;

} // namespace

fingerprint fingerprint_of(const caller_query& query)
{
    const std::string text = query.method + '\n' + query.host + '\n' +
                             query.target + '\n' + query.body;
    // Zero means that there is no fingerprint.
    return fingerprint(XXH3_64bits(text.data(), text.size()) | 1U);
}

crash_detector::crash_detector(listener on_suspected_crash)
    : on_suspected_crash(std::move(on_suspected_crash)),
      table(0, crashes_allowed)
{
}

void crash_detector::note_broken(fingerprint request_fingerprint,
                                 const broken_call& call, instant now)
{
    const suspected_crash crash{request_fingerprint, call.replica, call.at};
    if (this->refused_near(call.replica, call.at))
    {
        this->add_suspected_crash(crash);
        return;
    }
    this->broken.push_back(crash);
    this->expire(now);
}

void crash_detector::note_end(const caller_query& query, bool answered,
                              std::span<const broken_call> broken, instant now)
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
    for (const broken_call& one : broken)
    {
        this->note_broken(request_fingerprint, one, now);
    }
}

void crash_detector::note_answered(const caller_query& query)
{
    const bool any_suspect = !this->periods.empty() || !this->broken.empty() ||
                             !this->suspected_crashes.empty();
    if (any_suspect)
    {
        this->note_served(fingerprint_of(query));
    }
}

void crash_detector::note_down(const leaf_id& replica, instant now)
{
    this->expire(now);
    this->expire_refusals(now);
    std::deque<instant>& refused_at = this->refusals[replica];
    if (refused_at.empty() || now - refused_at.back() >= refusal_interval)
    {
        refused_at.push_back(now);
    }
    const auto begin_of_found = std::ranges::stable_partition(
        this->broken, [&replica](const suspected_crash& one)
        { return one.replica != replica; });
    const std::deque<suspected_crash> found(begin_of_found.begin(),
                                            begin_of_found.end());
    this->broken.erase(begin_of_found.begin(), begin_of_found.end());
    for (const suspected_crash& one : found)
    {
        if (now - one.at <= crash_window)
        {
            this->add_suspected_crash(one);
        }
    }
}

void crash_detector::note_served(fingerprint request_fingerprint)
{
    std::erase_if(this->broken,
                  [request_fingerprint](const suspected_crash& one)
                  { return one.request_fingerprint == request_fingerprint; });
    this->table.note_served(request_fingerprint);
    this->periods.erase(request_fingerprint);
}

bool crash_detector::merge(const suspected_crash& crash)
{
    const bool duplicate = std::ranges::any_of(
        this->suspected_crashes,
        [&crash](const suspected_crash& one)
        {
            return one.request_fingerprint == crash.request_fingerprint &&
                   one.replica == crash.replica &&
                   std::chrono::abs(one.at - crash.at) < crash_window;
        });
    if (duplicate)
    {
        return false;
    }
    this->suspected_crashes.push_back(crash);

    const fingerprint request_fingerprint = crash.request_fingerprint;
    const auto period = this->periods.find(request_fingerprint);
    const bool repeated = period != this->periods.end() &&
                          !this->quarantined(request_fingerprint, crash.at) &&
                          crash.at - period->second.until <= period_retention;
    this->table.note_crash(request_fingerprint, crash.replica, crash.at,
                           standing::unknown);
    if (repeated)
    {
        this->quarantine_again(request_fingerprint, period->second, crash.at);
    }
    else if (this->quarantined(request_fingerprint, crash.at))
    {
        const quarantine made =
            this->table.describe(request_fingerprint, crash.at);
        this->note_quarantine(request_fingerprint, made.remaining, crash.at);
    }
    return true;
}

// Remembers a quarantine beyond its end.
void crash_detector::note_quarantine(fingerprint request_fingerprint,
                                     microseconds remaining, instant now)
{
    std::erase_if(this->periods, [now](const auto& one)
                  { return now - one.second.until > period_retention; });
    quarantine_period& period = this->periods[request_fingerprint];
    period.length = std::max(period.length, remaining);
    period.until = std::max(period.until, now + remaining);
}

// Quarantines a request that crashed a replica after its last quarantine.
void crash_detector::quarantine_again(fingerprint request_fingerprint,
                                      quarantine_period& last, instant now)
{
    last.length = std::min(2 * last.length, max_quarantine);
    last.until = now + last.length;
    this->table.merge(request_fingerprint, last.until, now);
}

bool crash_detector::merge(const quarantine& other, instant now)
{
    if (other.remaining < min_adopted_time ||
        this->quarantined(other.request_fingerprint, now))
    {
        return false;
    }
    this->table.merge(other.request_fingerprint, now + other.remaining, now);
    this->note_quarantine(other.request_fingerprint, other.remaining, now);
    return true;
}

std::vector<quarantine> crash_detector::next_quarantines(std::size_t most,
                                                         instant now)
{
    auto next = this->table.in_force(this->last_sent, most, now);
    if (!next.empty())
    {
        this->last_sent = next.back().request_fingerprint;
    }
    return next;
}

bool crash_detector::quarantined(fingerprint request_fingerprint, instant now)
{
    return this->table.look_up(request_fingerprint, now) ==
           standing::quarantined;
}

void crash_detector::add_suspected_crash(const suspected_crash& one)
{
    if (this->merge(one))
    {
        this->on_suspected_crash(one);
    }
}

// Returns whether a replica refused a connection within `crash_window` of a
// time.
bool crash_detector::refused_near(const leaf_id& replica, instant at) const
{
    const auto found = this->refusals.find(replica);
    return found != this->refusals.end() &&
           std::ranges::any_of(
               found->second, [at](instant refused)
               { return std::chrono::abs(refused - at) < crash_window; });
}

void crash_detector::expire(instant now)
{
    while (!this->broken.empty() &&
           (now - this->broken.front().at > crash_window ||
            this->broken.size() > broken_call_limit))
    {
        this->broken.pop_front();
    }
    const instant oldest = now - suspected_crash_retention;
    std::erase_if(this->suspected_crashes, [oldest](const suspected_crash& one)
                  { return one.at < oldest; });
}

void crash_detector::expire_refusals(instant now)
{
    const instant oldest = now - refusal_retention;
    for (auto& [replica, refused_at] : this->refusals)
    {
        std::erase_if(refused_at,
                      [oldest](instant one) { return one < oldest; });
    }
    std::erase_if(this->refusals,
                  [](const auto& one) { return one.second.empty(); });
}

} // namespace basilpath
