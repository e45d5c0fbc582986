/// What this process has seen of one replica, and what it expects of it.
#pragma once

#include "node/request/target_call.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace basilpath
{

/// Statistics of one replica that placement decides by. Answers the load in
/// which a replica is busy with the work of other hosts, pauses for a moment,
/// runs on a slow machine, fails part of its requests or has just started.
class replica_health
{
public:
    replica_health(unsigned slots, milliseconds warmup, instant now);

    /// A request leaves for the replica.
    void on_sent(instant now);

    /// A whole answer came; `usual` is what the route usually takes.
    void on_answer(instant now, microseconds latency, microseconds usual,
                   const std::optional<replica_load>& load, bool good);

    /// A request that had left got no whole answer.
    void on_broken(instant now);

    /// A request that had left was taken back before its answer.
    void on_withdrawn(instant now, bool silent);

    /// A connection could not be made.
    void on_connect_failed(instant now);

    /// The replica answered a health check.
    void on_probe(instant now, bool good,
                  const std::optional<replica_load>& load);

    /// Expected time from now to the answer, when a request of a kind that
    /// usually takes `usual` is sent now.
    [[nodiscard]] microseconds expected(instant now, microseconds usual) const;

    /// Calls have been out for much longer than expected and nothing came: the
    /// replica pauses or is gone.
    [[nodiscard]] bool silent(instant now) const;

    /// No request should be sent before a health check has passed.
    [[nodiscard]] bool down() const
    {
        return this->is_down;
    }

    /// When the next health check is due; only while the replica is down.
    [[nodiscard]] instant next_probe() const
    {
        return this->probe_at;
    }

    /// A health check has been started.
    void on_probe_started(instant now);

    /// Share of the recent requests that failed, 0 to 1.
    [[nodiscard]] double failure_rate(instant now) const;

    /// Requests of other hosts that are at the replica, as far as it said.
    [[nodiscard]] double others(instant now) const;

    /// How long ago the replica last told its load; nothing when it has not.
    [[nodiscard]] std::optional<milliseconds> report_age(instant now) const
    {
        if (!this->has_reported)
        {
            return std::nullopt;
        }
        return std::chrono::duration_cast<milliseconds>(now - this->report_at);
    }

    /// What a request lately took, from sending to answer.
    [[nodiscard]] microseconds service_time() const
    {
        return microseconds(static_cast<std::int64_t>(this->service_us));
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
    void note_failure(instant now, bool certain);
    void take(const replica_load& load, instant now);
    void forget_oldest();
    [[nodiscard]] double slowdown(instant now) const;

    unsigned slot_count;
    instant warm_at;

    /// When each request that is out was sent, oldest first. Answers are
    /// taken to come in that order, which is near enough for silence.
    std::deque<instant> sent_at;

    instant last_sign{};

    /// Latency against the usual, at usual pace.
    double slowness = 1.0;

    /// Mean time of a request in a slot.
    double service_us = 0.0;

    replica_load report;
    instant report_at{};
    bool has_reported = false;

    /// Requests of other hosts that the report implies.
    double report_others = 0.0;

    double failures = 0.0;
    instant failures_at{};
    unsigned failures_in_row = 0;

    bool is_down = false;
    instant probe_at{};
    microseconds probe_wait{0};
};

} // namespace basilpath
