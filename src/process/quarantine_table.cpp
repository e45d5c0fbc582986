#include "process/quarantine_table.hpp"

#include <algorithm>

namespace basilpath
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t record_limit = 10'000;
constexpr microseconds quarantine_time = 60s;

/// A fingerprint remains a suspect for this long after its last crash.
constexpr microseconds suspicion_time = 60s;

/// Two failures of one leaf within this time count as one crash.
constexpr microseconds same_crash_time = 1s;

} // namespace

quarantine_table::quarantine_table(std::size_t proven_limit,
                                   std::size_t crashes_allowed)
    : proven(proven_limit), crashes_allowed(crashes_allowed)
{
}

standing quarantine_table::look_up(fingerprint request_fingerprint, instant now)
{
    const auto found = this->records.find(request_fingerprint);
    if (found != this->records.end())
    {
        const record& known = found->second;
        if (known.until && now < *known.until)
        {
            return standing::quarantined;
        }
        if (!known.until && now - known.last < suspicion_time)
        {
            return standing::suspect;
        }
        this->records.erase(found);
    }
    return request_fingerprint.value == 0 ||
                   this->proven.contains(request_fingerprint)
               ? standing::proven
               : standing::unknown;
}

void quarantine_table::note_served(fingerprint request_fingerprint)
{
    const auto found = this->records.find(request_fingerprint);
    if (found != this->records.end() && found->second.until)
    {
        return;
    }
    if (found != this->records.end())
    {
        this->records.erase(found);
    }
    this->proven.add(request_fingerprint);
}

standing quarantine_table::note_crash(fingerprint request_fingerprint,
                                      const leaf_id& leaf, instant now,
                                      standing sent_as)
{
    if (request_fingerprint.value == 0)
    {
        return standing::proven;
    }
    this->proven.remove(request_fingerprint);
    this->make_room(now);
    record& known = this->records[request_fingerprint];
    const bool is_duplicate = std::ranges::any_of(
        known.crashes, [&](const crash& one)
        { return one.leaf == leaf && now - one.at < same_crash_time; });
    const bool first = known.crashes.empty();
    if (!is_duplicate && (first || sent_as != standing::proven))
    {
        known.crashes.push_back({leaf, now});
        known.last = now;
    }
    if (!known.until && known.crashes.size() > this->crashes_allowed)
    {
        known.until = now + quarantine_time;
    }
    return known.until ? standing::quarantined : standing::suspect;
}

void quarantine_table::merge(fingerprint request_fingerprint, instant until,
                             instant now)
{
    this->make_room(now);
    record& known = this->records[request_fingerprint];
    known.until = std::max(known.until.value_or(until), until);
    this->proven.remove(request_fingerprint);
}

bool quarantine_table::begin_trial(fingerprint request_fingerprint)
{
    if (std::ranges::find(this->trials, request_fingerprint) !=
        this->trials.end())
    {
        return false;
    }
    this->trials.push_back(request_fingerprint);
    return true;
}

void quarantine_table::end_trial(fingerprint request_fingerprint)
{
    std::erase(this->trials, request_fingerprint);
}

quarantine quarantine_table::describe(fingerprint request_fingerprint,
                                      instant now) const
{
    quarantine result{request_fingerprint, {}, microseconds(0)};
    const auto found = this->records.find(request_fingerprint);
    if (found == this->records.end() || !found->second.until)
    {
        return result;
    }
    result.remaining = std::max(microseconds(0), *found->second.until - now);
    std::ranges::transform(found->second.crashes,
                           std::back_inserter(result.leaves), &crash::leaf);
    return result;
}

std::vector<quarantine> quarantine_table::in_force(fingerprint after,
                                                   std::size_t most,
                                                   instant now) const
{
    std::vector<quarantine> result;
    auto at = this->records.upper_bound(after);
    for (std::size_t i = 0; i < this->records.size() && result.size() < most;
         ++i, ++at)
    {
        at = at == this->records.end() ? this->records.begin() : at;
        const auto& [print, one] = *at;
        if (one.until && now < *one.until)
        {
            result.push_back({print, {}, *one.until - now});
        }
    }
    return result;
}

std::size_t quarantine_table::size(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->records, [now](const auto& entry)
        { return entry.second.until && now < *entry.second.until; }));
}

// Removes expired records when the table is full, then those with the earliest
// end of quarantine or last crash until there is room.
void quarantine_table::make_room(instant now)
{
    if (this->records.size() < record_limit)
    {
        return;
    }
    std::erase_if(this->records,
                  [now](const auto& entry)
                  {
                      const record& one = entry.second;
                      return one.until ? now >= *one.until
                                       : now - one.last >= suspicion_time;
                  });
    while (this->records.size() >= record_limit)
    {
        const auto oldest = std::ranges::min_element(
            this->records, {},
            [](const auto& entry)
            { return entry.second.until.value_or(entry.second.last); });
        this->records.erase(oldest);
    }
}

} // namespace basilpath
