#include "node/process/replica_health.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Weight of one answer in the averages: about the last ten count.
constexpr double answer_weight = 0.1;

// Most by which one answer counts as slower than expected, so that a single
// pause does not make a replica look slow for long.
constexpr double most_slowness = 5.0;

// A load report loses most of its meaning in this time: a request lasts some
// ten milliseconds and the pace of a machine changes several times a second.
constexpr microseconds load_memory = 150ms;
constexpr microseconds pace_memory = 400ms;

// Failures are forgotten at this rate, so that a replica that fails part of
// its requests is tried again after some seconds.
constexpr microseconds failure_memory = 2s;

// Silence: this many times the expected time, and never less than the least.
constexpr double silence_factor = 3.0;
constexpr microseconds least_silence = 12ms;

// What is added to the expected time of a silent replica: the rest of a pause,
// which lasts 120 to 200 ms in the deployments.
constexpr microseconds silence_cost = 90ms;

// What a request costs that fails and is sent again elsewhere.
constexpr microseconds failure_cost = 60ms;

// A replica that has just started takes about this many times as long.
constexpr double cold_factor = 1.6;

// Failures in a row after which a replica is held for down. A refused
// connection is enough by itself.
constexpr unsigned down_after = 3;

// Time between health checks of a replica that is down, doubled each time.
constexpr microseconds least_probe_wait = 250ms;
constexpr microseconds most_probe_wait = 1s;

double decay(microseconds age, microseconds memory)
{
    return std::exp(-static_cast<double>(std::max(age, 0us).count()) /
                    static_cast<double>(memory.count()));
}

} // namespace

replica_health::replica_health(unsigned slots, milliseconds warmup, instant now)
    : slot_count(std::max(slots, 1u)), warm_at(now + warmup), last_sign(now),
      report_at(now - 10s), failures_at(now)
{
}

void replica_health::on_sent(instant now)
{
    this->sent_at.push_back(now);
}

void replica_health::on_answer(instant now, microseconds latency,
                               microseconds usual,
                               const std::optional<replica_load>& load,
                               bool good)
{
    this->forget_oldest();
    this->last_sign = now;
    if (load)
    {
        this->take(*load, now);
    }
    if (!good)
    {
        this->note_failure(now, false);
        this->failures_in_row = 0;
        return;
    }
    this->failures_in_row = 0;
    const double expected =
        std::max(1.0, static_cast<double>(usual.count())) * this->slowdown(now);
    const double ratio = std::clamp(
        static_cast<double>(latency.count()) / expected, 0.1, most_slowness);
    this->slowness += answer_weight * (ratio - this->slowness);
    this->service_us += answer_weight * (static_cast<double>(latency.count()) -
                                         this->service_us);
    this->failures = this->failure_rate(now) * (1 - answer_weight);
    this->failures_at = now;
}

void replica_health::on_broken(instant now)
{
    this->forget_oldest();
    this->note_failure(now, false);
}

void replica_health::on_withdrawn(instant now, bool silent)
{
    this->forget_oldest();
    if (silent)
    {
        this->note_failure(now, false);
    }
}

void replica_health::on_connect_failed(instant now)
{
    this->note_failure(now, true);
}

void replica_health::on_probe(instant now, bool good,
                              const std::optional<replica_load>& load)
{
    if (!good)
    {
        return;
    }
    this->last_sign = now;
    this->is_down = false;
    this->failures_in_row = 0;
    this->probe_wait = 0us;
    this->sent_at.clear();
    if (load)
    {
        this->take(*load, now);
    }
}

void replica_health::on_probe_started(instant now)
{
    this->probe_wait =
        std::clamp(this->probe_wait * 2, least_probe_wait, most_probe_wait);
    this->probe_at = now + this->probe_wait;
}

microseconds replica_health::expected(instant now, microseconds usual) const
{
    const double base = static_cast<double>(usual.count()) * this->slowness *
                        this->slowdown(now) *
                        (now < this->warm_at ? cold_factor : 1.0);
    const double ahead =
        static_cast<double>(this->outstanding()) + this->others(now);
    const double slots = this->slot_count;
    const double service = std::max(this->service_us, 0.3 * base);
    const double wait = std::max(0.0, ahead + 1.0 - slots) / slots * service;
    microseconds total(static_cast<std::int64_t>(base + wait));
    total += microseconds(static_cast<std::int64_t>(
        this->failure_rate(now) * static_cast<double>(failure_cost.count())));
    if (this->silent(now))
    {
        total += silence_cost;
    }
    return total;
}

bool replica_health::silent(instant now) const
{
    if (this->sent_at.empty())
    {
        return false;
    }
    const microseconds quiet =
        now - std::max(this->sent_at.front(), this->last_sign);
    const microseconds usual(static_cast<std::int64_t>(
        silence_factor * this->service_us * this->slowdown(now)));
    return quiet > std::max(least_silence, usual);
}

double replica_health::failure_rate(instant now) const
{
    return this->failures * decay(now - this->failures_at, failure_memory);
}

void replica_health::note_failure(instant now, bool certain)
{
    this->failures = this->failure_rate(now);
    this->failures += answer_weight * 2 * (1.0 - this->failures);
    this->failures_at = now;
    ++this->failures_in_row;
    if (!this->is_down && (certain || this->failures_in_row >= down_after))
    {
        this->is_down = true;
        this->probe_wait = least_probe_wait / 2;
        this->probe_at = now + least_probe_wait;
    }
}

void replica_health::take(const replica_load& load, instant now)
{
    this->report = load;
    this->report_at = now;
    this->has_reported = true;
    const double all = static_cast<double>(load.running + load.waiting);
    this->report_others =
        std::max(0.0, all - static_cast<double>(this->sent_at.size()));
}

void replica_health::forget_oldest()
{
    if (!this->sent_at.empty())
    {
        this->sent_at.pop_front();
    }
}

double replica_health::slowdown(instant now) const
{
    const double weight = decay(now - this->report_at, pace_memory);
    return 1.0 + (this->report.slowdown - 1.0) * weight;
}

double replica_health::others(instant now) const
{
    return this->report_others * decay(now - this->report_at, load_memory);
}

} // namespace basilpath
