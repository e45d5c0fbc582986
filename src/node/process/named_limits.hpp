/// The request rates that replicas in need accept from all hosts together.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace basilpath
{

/// What is known of the limit of one replica.
struct named_limit
{
    leaf_id replica;

    /// The limit; nothing when the replica has ceased to name one.
    std::optional<request_rate> rate;

    /// When an answer of the replica last confirmed it.
    instant confirmed{};

    /// When the replica first named a limit.
    instant named{};
};

/// Records the limits that replicas name in their answers to this host and to
/// others. A limit is in force until an answer without one, or until no answer
/// has confirmed it for long. Needed for hosts that seldom call a replica: they
/// keep its limit from their first call on and learn its end without a call.
class named_limits
{
public:
    /// Records the limit in an answer to a call sent at `sent`. An answer
    /// without a limit ends it only if the call was sent after the limit was
    /// last confirmed, since answers may overtake each other. An answer that
    /// is not `complete`, such as a failure or a health check, ends no limit.
    void note_answer(const leaf_id& replica, std::optional<request_rate> rate,
                     bool complete, instant sent, instant now);

    /// Returns the limit in force, or nothing.
    [[nodiscard]] std::optional<request_rate> find(const leaf_id& replica,
                                                   instant now) const;

    /// Merges a limit that another host sent; the later confirmation counts.
    /// Received at `now`, with the time of the confirmation by this host's
    /// clock.
    void merge(const named_limit& received, instant now);

    /// Returns up to `most` limits in force or ended of late to send to other
    /// hosts, each in its turn.
    [[nodiscard]] std::vector<named_limit> next_news(std::size_t most,
                                                     instant now);

    /// Returns the number of limits in force.
    [[nodiscard]] std::size_t count(instant now) const;

    /// Removes what is outdated.
    void expire(instant now);

private:
    void change(named_limit& one, std::optional<request_rate> rate,
                instant now);

    std::map<leaf_id, named_limit> limits;

    /// The replica sent last to other hosts.
    leaf_id last_sent;
};

} // namespace basilpath
