/// Chooses the replica that receives a request.
#pragma once

#include "node/process/leaving_notice.hpp"
#include "node/process/limit_bucket.hpp"
#include "node/process/replica_health.hpp"
#include "node/version/replica.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace basilpath
{

/// A replica that may be chosen. The transport owns both objects, which exist
/// until the call that is being placed ends.
struct candidate
{
    const replica* target = nullptr;
    const replica_health* health = nullptr;

    /// Whether the replica was taken off the list, perhaps only for a moment;
    /// such a replica is used only when there is no other.
    bool delisted = false;

    /// This host's share of the limits in force on the replica; null when there
    /// are none.
    const limit_bucket* limit = nullptr;

    /// Calls of this host that wait to be sent to the replica.
    std::size_t waiting = 0;

    /// Whether nothing may be sent to the replica's failure domain.
    bool evacuated = false;

    /// What the replica's answers say of its departure.
    leaving_phase leaving = leaving_phase::none;

    /// Returns how long a call waits until the limit admits it.
    [[nodiscard]] microseconds limit_wait(instant now) const
    {
        return this->limit ? this->limit->wait(this->waiting, now)
                           : microseconds(0);
    }
};

/// Returns whether a replica may receive requests: not down, not leaving, not
/// evacuated and without an outstanding call on trial.
[[nodiscard]] bool is_eligible(const candidate& one);

/// Cost of a replica in another failure domain: a round trip between domains
/// takes 1 to 2 ms, the rest accounts for the bytes.
inline constexpr microseconds cross_domain_cost{8'000};

/// Inputs of a choice.
struct placement_query
{
    instant now{};

    /// Usual latency of such a request.
    microseconds usual{0};

    /// Failure domain of this host; null when distance does not matter.
    const failure_domain* domain = nullptr;

    /// Replicas to which the request was already sent.
    std::span<const leaf_id> asked;

    /// Random number that spreads requests among equal replicas.
    std::uint64_t random = 0;

    /// The other failure domain whose replicas are preferred because the query
    /// already uses replicas there; null for none.
    const failure_domain* preferred = nullptr;

    /// Cost of a replica in another failure domain.
    microseconds distance = cross_domain_cost;

    /// A replica whose limit admits the call only later is not chosen.
    instant latest_start = instant::max();

    /// Failure domains in which another host calls the replicas, within its own
    /// share of their limits.
    std::span<const failure_domain> delegated{};

    /// Whether the request may be sent again. One that may not goes to a
    /// replica on trial only when there is no other.
    bool repeatable = true;

    /// Returns whether another host would call this candidate.
    [[nodiscard]] bool is_delegated(const candidate& one) const;

    /// Returns whether the candidate's limit admits a call in time.
    [[nodiscard]] bool admits(const candidate& one) const;
};

/// The index of the chosen candidate and its expected latency.
struct placement_choice
{
    std::size_t index = 0;
    microseconds expected{0};
};

/// Numbers of replicas that cannot be chosen, by reason; each counts once.
struct unavailable_replicas
{
    std::size_t known = 0;

    /// In an evacuated failure domain.
    std::size_t evacuated = 0;

    /// Down, or on trial with a call outstanding.
    std::size_t down = 0;

    /// By their entry or by their answers.
    std::size_t leaving = 0;
    std::size_t asked = 0;

    /// At a limit: the one that they name, or the one while they are cold.
    std::size_t limited = 0;

    /// Returns whether all replicas, at least one, are in evacuated domains.
    [[nodiscard]] bool all_evacuated() const
    {
        return this->known > 0 && this->evacuated == this->known;
    }
};

/// Counts the candidates that `choose_replica` excludes.
[[nodiscard]] unavailable_replicas
count_unavailable(std::span<const candidate> candidates,
                  const placement_query& query);

/// Returns the shortest time until the limit of a replica that may receive
/// requests admits one.
[[nodiscard]] microseconds
shortest_limit_wait(std::span<const candidate> candidates, instant now);

/// Chooses the replica with the lowest expected latency. A replica in another
/// failure domain costs bytes between domains and is chosen only when it is
/// clearly faster. Excludes replicas that are not eligible, already tried or
/// at their limit.
[[nodiscard]] std::optional<placement_choice>
choose_replica(std::span<const candidate> candidates,
               const placement_query& query);

} // namespace basilpath
