/// What a relay knows of one leaf: its limits and its requests in progress.
#pragma once

#include "connection/recent_latency.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

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

    /// The state in force names the leaf as leaving.
    bool leaving = false;

    /// The leaf itself has told that it takes no new work.
    bool draining = false;

    /// Kept free for one request that is to run there alone.
    bool reserved = false;

    /// Slower than its peers: gets probes only.
    bool put_aside = false;

    /// Its latency when it was put aside.
    microseconds aside_latency{0};

    /// When a probe was last sent to a leaf put aside.
    instant probed_at;

    /// Requests sent and not yet answered, losers of a hedge included.
    std::uint32_t in_use = 0;

    /// Latencies of the last requests.
    recent_latency latency;

    /// Requests that may be in progress at the same time: few after a restart,
    /// one more with every few that are served.
    [[nodiscard]] std::uint32_t request_limit() const;

    /// Tells whether the leaf takes new work at all.
    [[nodiscard]] bool open() const;

    /// Tells whether a request may be sent now.
    [[nodiscard]] bool has_room(instant now) const;

    /// Tells whether the leaf is open and not paused after a failure.
    [[nodiscard]] bool usable(instant now) const;

    /// Notes that the leaf shed a request: it gets none for a while, twice as
    /// long at each repetition.
    void note_busy(instant now);

    /// Notes that the leaf could not be reached or was lost in mid-request. It
    /// gets no request for a while and then one at a time.
    void note_lost(instant now);

    /// Notes that the leaf served a request.
    void note_served();

    /// When the leaf may be asked again after it was busy or lost.
    [[nodiscard]] instant paused_until() const;

    /// Notes that a connection made before `now` has gone silent while a new
    /// one works: all older ones are to be replaced.
    void suspect_connections(instant now);

    /// Connections older than this are to be replaced; zero for no limit.
    [[nodiscard]] std::chrono::seconds connection_age_limit(instant now) const;

private:
    instant pause_end;
    microseconds pause{0};
    std::optional<std::uint32_t> ramp;
    std::uint32_t served_at_step = 0;
    std::optional<instant> suspected_at;
};

} // namespace basilpath
