#include "node/process/named_limits.hpp"

#include "process/log.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// A limit that no answer has confirmed for this long has lapsed. Without calls
// a replica has no need of it, and the next answer names it again.
constexpr microseconds lifetime = 30s;

// How long the end of a limit is sent to other hosts.
constexpr microseconds end_news_time = 10s;

// A confirmation that another host sends counts as this much older, more than
// a datagram takes, so that it is never later than the answer itself.
constexpr microseconds max_transit_time = 50ms;

// A change is logged when it is larger than this share of the limit.
constexpr double logged_change = 0.1;

} // namespace

void named_limits::note_answer(const leaf_id& replica,
                               std::optional<request_rate> rate, bool complete,
                               instant sent, instant now)
{
    const auto found = this->limits.find(replica);
    if (found == this->limits.end())
    {
        if (rate)
        {
            this->change(this->limits[replica] = {replica, {}, now, now}, rate,
                         now);
        }
        return;
    }
    if (!rate && (!complete || sent < found->second.confirmed))
    {
        return;
    }
    this->change(found->second, rate, now);
}

void named_limits::merge(const named_limit& received, instant now)
{
    const instant confirmed = received.confirmed - max_transit_time;
    const auto found = this->limits.find(received.replica);
    const bool unknown = found == this->limits.end();
    if (now - confirmed > lifetime || (unknown && !received.rate) ||
        (!unknown && found->second.confirmed >= confirmed))
    {
        return;
    }
    named_limit& one = this->limits[received.replica];
    one.replica = received.replica;
    this->change(one, received.rate, now);
    one.confirmed = confirmed;
}

std::vector<named_limit> named_limits::next_news(std::size_t most, instant now)
{
    std::vector<named_limit> news;
    auto at = this->limits.upper_bound(this->last_sent);
    for (std::size_t i = 0; i < this->limits.size() && news.size() < most;
         ++i, ++at)
    {
        at = at == this->limits.end() ? this->limits.begin() : at;
        const named_limit& one = at->second;
        const microseconds age = now - one.confirmed;
        if (age < (one.rate ? lifetime : end_news_time))
        {
            news.push_back(one);
            this->last_sent = one.replica;
        }
    }
    return news;
}

std::optional<request_rate> named_limits::find(const leaf_id& replica,
                                               instant now) const
{
    const auto found = this->limits.find(replica);
    const bool lapsed =
        found == this->limits.end() || now - found->second.confirmed > lifetime;
    return lapsed ? std::nullopt : found->second.rate;
}

std::size_t named_limits::count(instant now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->limits, [this, now](const auto& one)
        { return this->find(one.first, now).has_value(); }));
}

void named_limits::expire(instant now)
{
    std::erase_if(this->limits,
                  [now](const auto& one)
                  {
                      const bool lapsed = now - one.second.confirmed > lifetime;
                      if (lapsed && one.second.rate)
                      {
                          log_event(log_level::info, "limit_lapsed",
                                    {{"replica", one.first.value}});
                      }
                      return lapsed;
                  });
}

// Records a limit and logs it if it differs from the one before.
void named_limits::change(named_limit& one, std::optional<request_rate> rate,
                          instant now)
{
    one.confirmed = now;
    if (rate && !one.rate)
    {
        one.named = now;
        log_event(log_level::info, "limit_named",
                  {{"replica", one.replica.value}, {"rate", rate->value}});
    }
    else if (!rate && one.rate)
    {
        log_event(log_level::info, "limit_ended",
                  {{"replica", one.replica.value},
                   {"rate", one.rate->value},
                   {"lasted_ms",
                    std::chrono::duration_cast<milliseconds>(now - one.named)
                        .count()}});
    }
    else if (rate && std::abs(rate->value - one.rate->value) >
                         logged_change * one.rate->value)
    {
        log_event(log_level::info, "limit_changed",
                  {{"replica", one.replica.value},
                   {"rate", rate->value},
                   {"before", one.rate->value}});
    }
    one.rate = rate;
}

} // namespace basilpath
