/// Detects requests that crash the replicas that run them.
#pragma once

#include "process/instant.hpp"
#include "process/quarantine_table.hpp"
#include "version/ids.hpp"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace basilpath
{

struct broken_call;
struct caller_query;

/// A broken call and a refused connection this close together are one crash,
/// since the next connection is attempted at once.
inline constexpr microseconds crash_window = std::chrono::seconds(1);

/// Hashes method, host, target and body.
[[nodiscard]] fingerprint fingerprint_of(const caller_query& query);

/// A replica that went down while it ran a request, and the request's
/// fingerprint.
struct suspected_crash
{
    fingerprint request_fingerprint;
    leaf_id replica;
    instant at{};
};

/// Counts a crash against a request when its call breaks and the replica then
/// refuses connections. An answer clears the request. At the third crash,
/// counted over all hosts, the request is quarantined. If it crashes a replica
/// after that, it is quarantined at once and for twice as long. Handles a
/// request that takes down each replica that it reaches while its caller
/// resends it to any host.
class crash_detector
{
public:
    /// Called for each crash that this host finds.
    using listener = std::function<void(const suspected_crash&)>;

    explicit crash_detector(listener on_suspected_crash);

    /// Records that a call broke; it may or may not have crashed its replica.
    void note_broken(fingerprint request_fingerprint, const broken_call& call,
                     instant now);

    /// Records the end of a request. `answered` means that some replica
    /// answered it, `broken` lists the calls that broke.
    void note_end(const caller_query& query, bool answered,
                  std::span<const broken_call> broken, instant now);

    /// Records that a request was answered, whether or not a call broke before.
    void note_answered(const caller_query& query);

    /// Records that a replica refuses connections.
    void note_down(const leaf_id& replica, instant now);

    /// Records that a replica answered the request.
    void note_served(fingerprint request_fingerprint);

    /// Merges a crash found by another host. Returns whether it is new.
    bool merge(const suspected_crash& crash);

    /// Adopts a quarantine of another host. Returns whether it is new. A host
    /// that was not running or could not be reached when the replicas crashed
    /// learns of it in this way.
    bool merge(const quarantine& other, instant now);

    /// Returns up to `most` quarantines to send to another host, each in turn.
    [[nodiscard]] std::vector<quarantine> next_quarantines(std::size_t most,
                                                           instant now);

    /// Number of requests in quarantine.
    [[nodiscard]] std::size_t quarantine_count(instant now) const
    {
        return this->table.size(now);
    }

    /// Returns whether the request must not be sent to any replica.
    [[nodiscard]] bool quarantined(fingerprint request_fingerprint,
                                   instant now);

private:
    /// The last quarantine of a request.
    struct quarantine_period
    {
        microseconds length{0};
        instant until{};
    };

    void add_suspected_crash(const suspected_crash& one);
    void note_quarantine(fingerprint request_fingerprint,
                         microseconds remaining, instant now);
    void quarantine_again(fingerprint request_fingerprint,
                          quarantine_period& last, instant now);
    [[nodiscard]] bool refused_near(const leaf_id& replica, instant at) const;
    void expire(instant now);
    void expire_refusals(instant now);

    listener on_suspected_crash;
    quarantine_table table;

    /// Calls that broke within `crash_window` and whose replica has not refused
    /// a connection since.
    std::deque<suspected_crash> broken;

    /// When replicas refused connections. Kept longer than `broken`, since the
    /// calls of a query are judged at its end.
    std::map<leaf_id, std::deque<instant>> refusals;
    std::deque<suspected_crash> suspected_crashes;

    /// Requests that were in quarantine and that no replica has answered since.
    std::map<fingerprint, quarantine_period> periods;

    /// The last quarantine that was sent to another host.
    fingerprint last_sent;
};

} // namespace basilpath
