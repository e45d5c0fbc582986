#include "node/process/replica_health.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Weight of a new answer in the moving averages, which cover about the last
// ten.
constexpr double ewma_weight = 0.1;

// Upper limit of the ratio that one answer contributes, so that a single pause
// does not make a replica look slow for long.
constexpr double max_latency_ratio = 5.0;

// Decay times of a load report: a request lasts some ten milliseconds, and the
// speed of a machine changes several times a second.
constexpr microseconds load_decay_time = 150ms;
constexpr microseconds slowdown_decay_time = 400ms;

// Decay time of the failure rate: a replica that fails part of its requests is
// tried again after some seconds.
constexpr microseconds failure_decay_time = 2s;

// A replica is silent after this multiple of the expected time, but never
// before the minimum.
constexpr double silence_factor = 3.0;
constexpr microseconds min_silence = 12ms;

// Added to the expected time of a silent replica: the rest of a pause, which
// lasts 120 to 200 ms in the deployments.
constexpr microseconds silence_penalty = 90ms;

// Cost of a request that fails and is sent again elsewhere.
constexpr microseconds failure_penalty = 60ms;

// Consecutive failures that mark a replica as down. A single refused connection
// suffices.
constexpr unsigned down_after_failures = 3;

// Interval of the health checks of a replica that is down, doubled each time.
constexpr microseconds min_probe_backoff = 250ms;
constexpr microseconds max_probe_backoff = 1s;

// Time for which a replica is left after a failed trial, doubled each time.
constexpr microseconds min_trial_backoff = 500ms;
constexpr microseconds max_trial_backoff = 2s;

// Consecutive trials that are given up early count as a failed one.
constexpr unsigned max_abandoned_trials = 3;

double decay(microseconds age, microseconds time_constant)
{
    return std::exp(-static_cast<double>(std::max(age, 0us).count()) /
                    static_cast<double>(time_constant.count()));
}

} // namespace

replica_health::replica_health(unsigned slots, milliseconds warmup, instant now,
                               std::shared_ptr<cold_speed> speed)
    : slot_count(std::max(slots, 1u)), warm_at(now + warmup),
      speed(std::move(speed)), last_activity(now), report_at(now - 10s),
      failure_rate_at(now)
{
}

bool replica_health::on_sent(instant now)
{
    this->sent_at.push_back(now);
    if (this->state != replica_belief::on_trial || this->trial_outstanding)
    {
        return false;
    }
    this->trial_outstanding = true;
    return true;
}

void replica_health::on_trial_ended(instant now, trial_end end)
{
    this->trial_outstanding = false;
    if (this->state != replica_belief::on_trial)
    {
        return;
    }
    if (end == trial_end::answered)
    {
        this->abandoned_trials = 0;
    }
    else if (end == trial_end::abandoned)
    {
        ++this->abandoned_trials;
    }
    if (end == trial_end::broken ||
        this->abandoned_trials >= max_abandoned_trials)
    {
        this->abandoned_trials = 0;
        this->trial_backoff = std::clamp(this->trial_backoff * 2,
                                         min_trial_backoff, max_trial_backoff);
        this->leave(now, this->trial_backoff);
    }
}

void replica_health::on_answer(instant now, microseconds latency,
                               microseconds usual,
                               const std::optional<replica_load>& load,
                               bool good)
{
    this->remove_oldest_call();
    this->last_activity = now;
    if (load)
    {
        this->update_load(*load, now);
    }
    if (!good)
    {
        this->record_failure(now, false);
        this->failures_in_row = 0;
        return;
    }
    this->failures_in_row = 0;
    this->forget_trial();
    const double expected =
        std::max(1.0, static_cast<double>(usual.count())) * this->slowdown(now);
    const double ratio =
        std::clamp(static_cast<double>(latency.count()) / expected, 0.1,
                   max_latency_ratio);
    if (this->cold(now))
    {
        this->speed->note(ratio / this->latency_ratio);
    }
    else
    {
        this->latency_ratio += ewma_weight * (ratio - this->latency_ratio);
    }
    this->mean_service_us +=
        ewma_weight *
        (static_cast<double>(latency.count()) - this->mean_service_us);
    this->last_failure_rate = this->failure_rate(now) * (1 - ewma_weight);
    this->failure_rate_at = now;
}

void replica_health::on_broken(instant now)
{
    this->remove_oldest_call();
    this->record_failure(now, false);
}

void replica_health::on_cancelled(instant now, bool silent)
{
    this->remove_oldest_call();
    if (silent)
    {
        this->record_failure(now, false);
    }
}

void replica_health::on_connect_failed(instant now)
{
    this->record_failure(now, true);
}

void replica_health::on_probe(instant now, bool good,
                              const std::optional<replica_load>& load)
{
    if (!good)
    {
        return;
    }
    this->last_activity = now;
    if (this->down())
    {
        this->state =
            this->needs_trial ? replica_belief::on_trial : replica_belief::up;
    }
    if (!this->needs_trial)
    {
        this->failures_in_row = 0;
    }
    this->probe_backoff = 0us;
    this->sent_at.clear();
    if (load)
    {
        this->update_load(*load, now);
    }
}

void replica_health::on_probe_started(instant now)
{
    this->probe_backoff = std::clamp(this->probe_backoff * 2, min_probe_backoff,
                                     max_probe_backoff);
    this->next_probe_at = now + this->probe_backoff;
}

microseconds replica_health::expected(instant now, microseconds usual) const
{
    const double base = static_cast<double>(usual.count()) *
                        this->latency_ratio * this->slowdown(now) *
                        (this->cold(now) ? this->speed->slowdown() : 1.0);
    const double ahead =
        static_cast<double>(this->outstanding()) + this->external_requests(now);
    const double slots = this->slot_count;
    const double service = std::max(this->mean_service_us, 0.3 * base);
    const double wait = std::max(0.0, ahead + 1.0 - slots) / slots * service;
    microseconds total(static_cast<std::int64_t>(base + wait));
    total += microseconds(static_cast<std::int64_t>(
        this->failure_rate(now) *
        static_cast<double>(failure_penalty.count())));
    if (this->silent(now))
    {
        total += silence_penalty;
    }
    return total;
}

bool replica_health::silent(instant now) const
{
    if (this->sent_at.empty())
    {
        return false;
    }
    const microseconds silent_for =
        now - std::max(this->sent_at.front(), this->last_activity);
    const microseconds usual(static_cast<std::int64_t>(
        silence_factor * this->mean_service_us * this->slowdown(now)));
    return silent_for > std::max(min_silence, usual);
}

bool replica_health::overdue(instant now, instant sent,
                             microseconds usual) const
{
    const double expected =
        std::max(static_cast<double>(usual.count()), this->mean_service_us) *
        this->slowdown(now);
    return now - sent >
           std::max(min_silence, microseconds(static_cast<std::int64_t>(
                                     silence_factor * expected)));
}

double replica_health::failure_rate(instant now) const
{
    return this->last_failure_rate *
           decay(now - this->failure_rate_at, failure_decay_time);
}

void replica_health::record_failure(instant now, bool certain)
{
    this->last_failure_rate = this->failure_rate(now);
    this->last_failure_rate +=
        ewma_weight * 2 * (1.0 - this->last_failure_rate);
    this->failure_rate_at = now;
    ++this->failures_in_row;
    if (certain && this->trial_backoff == 0us)
    {
        // The replica crashed, which explains the calls that broke.
        this->needs_trial = false;
    }
    if (this->down())
    {
        return;
    }
    if (certain)
    {
        this->leave(now, min_probe_backoff);
    }
    else if (this->state == replica_belief::up &&
             this->failures_in_row >= down_after_failures)
    {
        this->needs_trial = true;
        this->leave(now, min_probe_backoff);
    }
}

// Sends no request until a health check has passed, at this time or later.
void replica_health::leave(instant now, microseconds time)
{
    this->state = replica_belief::down;
    this->probe_backoff = min_probe_backoff / 2;
    this->next_probe_at = now + time;
}

// Ends the trials: a call was answered well.
void replica_health::forget_trial()
{
    this->needs_trial = false;
    this->abandoned_trials = 0;
    this->trial_backoff = 0us;
    if (this->state == replica_belief::on_trial)
    {
        this->state = replica_belief::up;
    }
}

void replica_health::update_load(const replica_load& load, instant now)
{
    this->report = load;
    this->report_at = now;
    this->has_reported = true;
    const double all = static_cast<double>(load.running + load.waiting);
    this->reported_external_requests =
        std::max(0.0, all - static_cast<double>(this->sent_at.size()));
}

void replica_health::remove_oldest_call()
{
    if (!this->sent_at.empty())
    {
        this->sent_at.pop_front();
    }
}

double replica_health::slowdown(instant now) const
{
    const double weight = decay(now - this->report_at, slowdown_decay_time);
    return 1.0 + (this->report.slowdown - 1.0) * weight;
}

double replica_health::external_requests(instant now) const
{
    return this->reported_external_requests *
           decay(now - this->report_at, load_decay_time);
}

} // namespace basilpath
