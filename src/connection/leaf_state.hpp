/// What a relay knows of one leaf: its limits and its requests in progress.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstdint>

namespace basilpath
{

/// One leaf as this process sees it. Counts are exact for this process.
class leaf_state
{
public:
    explicit leaf_state(leaf_id id) : id(std::move(id)) {}

    leaf_id id;
    http_address address;

    /// Requests the leaf runs at the same time.
    std::uint32_t slots = 1;

    /// Connections that this process may hold to the leaf.
    std::uint32_t connection_limit = 1;

    bool leaving = false;

    /// Requests sent and not yet answered, losers of a hedge included.
    std::uint32_t in_use = 0;

    /// Requests that may be in progress at the same time.
    [[nodiscard]] std::uint32_t request_limit() const;

    /// Tells whether a request may be sent now.
    [[nodiscard]] bool has_room(instant now) const;

    /// Notes that the leaf shed a request: it gets none for a while, twice as
    /// long at each repetition.
    void note_busy(instant now);

    /// Notes that the leaf served a request in this time.
    void note_served(instant now, microseconds elapsed);

    /// When the leaf may be asked again after it was busy.
    [[nodiscard]] instant busy_until() const;

    /// Time that a request is expected to take; zero when nothing is known.
    [[nodiscard]] microseconds expected() const;

private:
    instant paused_until;
    microseconds pause{0};
    microseconds mean{0};
};

} // namespace basilpath
