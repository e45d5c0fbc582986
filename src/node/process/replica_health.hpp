/// Health and load of one replica as observed by this process.
#pragma once

#include "node/process/cold_speed.hpp"
#include "node/request/target_call.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace basilpath
{

/// What this process believes of a replica.
enum class replica_belief : std::uint8_t
{
    up,
    down,    ///< a health check must pass before any request is sent
    on_trial ///< one call at a time until one is answered well
};

/// How a call on trial ended.
enum class trial_end : std::uint8_t
{
    unsent,
    answered,  ///< a whole answer arrived, perhaps a failure
    abandoned, ///< given up before the answer was overdue
    broken     ///< no whole answer arrived in time
};

/// Statistics of one replica on which placement decides. Handles replicas that
/// are busy with the work of other hosts, pause for a moment, run on a slow
/// machine, fail part of their requests or have just started.
class replica_health
{
public:
    /// `speed` is shared by the replicas of a host.
    replica_health(
        unsigned slots, milliseconds warmup, instant now,
        std::shared_ptr<cold_speed> speed = std::make_shared<cold_speed>());

    /// Records for how much longer the replica is cold.
    void set_warmup(milliseconds left, instant now)
    {
        this->warm_at = now + left;
    }

    /// Returns whether the replica is cold: it has just started, or was without
    /// work.
    [[nodiscard]] bool cold(instant now) const
    {
        return now < this->warm_at;
    }

    /// Records that a request was sent to the replica. Returns whether the call
    /// is a trial, whose end `on_trial_ended` must record.
    bool on_sent(instant now);

    /// Records the end of a call on trial, after its result.
    void on_trial_ended(instant now, trial_end end);

    /// Records a complete answer; `usual` is the usual latency of its route.
    void on_answer(instant now, microseconds latency, microseconds usual,
                   const std::optional<replica_load>& load, bool good);

    /// Records that a sent request got no complete answer.
    void on_broken(instant now);

    /// Records that a request was cancelled before its answer. It counts as a
    /// failure when the replica was `silent`.
    void on_cancelled(instant now, bool silent);

    /// Records that a connection could not be made.
    void on_connect_failed(instant now);

    /// Records the result of a health check; a failed check changes nothing.
    void on_probe(instant now, bool good,
                  const std::optional<replica_load>& load);

    /// Returns the expected time from now to the answer for a request that
    /// usually takes `usual` and is sent now.
    [[nodiscard]] microseconds expected(instant now, microseconds usual) const;

    /// Returns whether calls are outstanding for much longer than expected
    /// without any answer: the replica is paused or gone.
    [[nodiscard]] bool silent(instant now) const;

    /// Returns whether a health check must pass before any request is sent.
    [[nodiscard]] bool down() const
    {
        return this->state == replica_belief::down;
    }

    [[nodiscard]] replica_belief belief() const
    {
        return this->state;
    }

    /// Returns whether a request may be sent: the replica is not down, and no
    /// call on trial is outstanding.
    [[nodiscard]] bool available() const
    {
        return this->state == replica_belief::up ||
               (this->state == replica_belief::on_trial &&
                !this->trial_outstanding);
    }

    /// Returns whether a call sent at `sent` takes much longer than expected.
    [[nodiscard]] bool overdue(instant now, instant sent,
                               microseconds usual) const;

    /// Number of calls in a row, trials included, that got no whole answer.
    [[nodiscard]] unsigned failed_calls() const
    {
        return this->failures_in_row;
    }

    /// Time of the next health check; valid only while the replica is down.
    [[nodiscard]] instant next_probe() const
    {
        return this->next_probe_at;
    }

    /// Records the start of a health check and schedules the next one.
    void on_probe_started(instant now);

    /// Share of the recent requests that failed, 0 to 1.
    [[nodiscard]] double failure_rate(instant now) const;

    /// Estimated requests of other hosts at the replica, from its last load
    /// report; decays with the age of the report.
    [[nodiscard]] double external_requests(instant now) const;

    /// Age of the last load report; nothing before the first one.
    [[nodiscard]] std::optional<milliseconds> report_age(instant now) const
    {
        if (!this->has_reported)
        {
            return std::nullopt;
        }
        return std::chrono::duration_cast<milliseconds>(now - this->report_at);
    }

    /// Recent mean time from sending a request to its answer.
    [[nodiscard]] microseconds service_time() const
    {
        return microseconds(static_cast<std::int64_t>(this->mean_service_us));
    }

    [[nodiscard]] unsigned outstanding() const
    {
        return static_cast<unsigned>(this->sent_at.size());
    }

    [[nodiscard]] unsigned slots() const
    {
        return this->slot_count;
    }

private:
    void record_failure(instant now, bool certain);
    void leave(instant now, microseconds time);
    void forget_trial();
    void update_load(const replica_load& load, instant now);
    void remove_oldest_call();
    [[nodiscard]] double slowdown(instant now) const;

    unsigned slot_count;
    instant warm_at;
    std::shared_ptr<cold_speed> speed;

    /// Send times of the outstanding requests, oldest first. Answers are
    /// assumed to arrive in this order, which is accurate enough to detect
    /// silence.
    std::deque<instant> sent_at;

    instant last_activity{};

    /// Mean ratio of the latency to the usual latency, corrected for the
    /// reported slowdown of the machine.
    double latency_ratio = 1.0;

    /// Mean time of a request in a slot, in microseconds.
    double mean_service_us = 0.0;

    replica_load report;
    instant report_at{};
    bool has_reported = false;

    /// Requests of other hosts at the time of the last load report.
    double reported_external_requests = 0.0;

    double last_failure_rate = 0.0;
    instant failure_rate_at{};
    unsigned failures_in_row = 0;

    replica_belief state = replica_belief::up;
    instant next_probe_at{};
    microseconds probe_backoff{0};

    /// Set when calls got no whole answer: a health check does not show that
    /// the replica answers again.
    bool needs_trial = false;
    bool trial_outstanding = false;
    unsigned abandoned_trials = 0;

    /// How long the replica was left after the last failed trial; zero before
    /// the first one.
    microseconds trial_backoff{0};
};

} // namespace basilpath
