/// The choice of the replica that gets a request.
#pragma once

#include "node/process/replica_health.hpp"
#include "node/version/replica.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace basilpath
{

/// A replica that may be chosen. Both are owned by the transport and live as
/// long as the call that is being placed.
struct candidate
{
    const replica* target = nullptr;
    const replica_health* health = nullptr;

    /// It was taken off the list and may only be gone for a moment; used when
    /// there is no other.
    bool lapsed = false;
};

/// Tells whether a replica may be sent requests at all: it is not down and does
/// not leave.
[[nodiscard]] bool is_eligible(const candidate& one);

/// A replica in another failure domain must be faster by this much: a round
/// trip between domains takes 1 to 2 ms, the rest stands for the bytes.
inline constexpr microseconds distance_cost{8'000};

/// What a choice depends on.
struct placement_query
{
    instant now{};

    /// What a request of this kind usually takes.
    microseconds usual{0};

    /// Where this host stands.
    const failure_domain* domain = nullptr;

    /// Replicas that have been asked already.
    std::span<const leaf_id> asked;

    /// Spreads requests among equals.
    std::uint64_t random = 0;

    /// Of the other failure domains the one whose replicas are preferred, as
    /// others of the query are asked there too; null for none.
    const failure_domain* preferred = nullptr;

    /// What a replica in another failure domain costs.
    microseconds distance = distance_cost;
};

/// A choice and what it was based on.
struct placement_choice
{
    std::size_t index = 0;
    microseconds expected{0};
};

/// How many replicas could not be chosen, by reason; each is counted once.
struct unavailable_replicas
{
    std::size_t known = 0;
    std::size_t down = 0;
    std::size_t leaving = 0;
    std::size_t asked = 0;
};

/// Counts the candidates that `choose_replica` does not take.
[[nodiscard]] unavailable_replicas
count_unavailable(std::span<const candidate> candidates,
                  std::span<const leaf_id> asked);

/// The replica that is expected to answer first. A replica in another failure
/// domain costs bytes between domains and is taken only when it is clearly
/// faster; one that is down or leaving is not taken; one that has been asked
/// is not asked again.
[[nodiscard]] std::optional<placement_choice>
choose_replica(std::span<const candidate> candidates,
               const placement_query& query);

} // namespace basilpath
