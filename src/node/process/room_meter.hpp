/// Estimates whether replicas have room for calls that could be left out.
#pragma once

#include "node/request/target_call.hpp"
#include "process/instant.hpp"

namespace basilpath
{

/// Whether the slots of a group of replicas are scarce, from the load that they
/// report with their answers. Handles demand that exceeds what the replicas can
/// serve: a second call for a shard then takes the slot of the first call of
/// another query. One replica that pauses or is slow is not taken for a lack of
/// room, since it answers seldom.
class room_meter
{
public:
    /// Records the load in an answer. Returns whether the belief changed.
    bool note(const replica_load& load, instant now);

    /// Returns whether calls usually wait for a slot. Without recent reports
    /// there is no such belief.
    [[nodiscard]] bool scarce(instant now) const;

    /// Share of the recent answers, 0 to 1, whose replica had calls waiting.
    [[nodiscard]] double waiting_share() const;

private:
    /// Answers, those before the last one with a weight that decays with age.
    double answers = 0.0;

    /// The part of `answers` whose replica had calls waiting.
    double with_waiting = 0.0;

    instant noted_at{};
    instant changed_at{};
    bool is_scarce = false;
};

} // namespace basilpath
