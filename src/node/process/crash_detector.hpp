/// Finds requests that crash the replicas that run them.
#pragma once

#include "process/instant.hpp"
#include "process/quarantine_table.hpp"
#include "version/ids.hpp"

#include <deque>
#include <functional>
#include <map>
#include <span>

namespace basilpath
{

struct caller_query;

/// Same method, host, target and body give the same fingerprint.
[[nodiscard]] fingerprint fingerprint_of(const caller_query& query);

/// A replica that went down while it ran a request.
struct suspected_crash
{
    fingerprint request_fingerprint;
    leaf_id replica;
    instant at{};
};

/// A call that breaks and whose replica then refuses connections is a strike
/// against its request; an answer clears the request. At the third strike, over
/// all hosts, it is quarantined. Answers the load in which one request takes
/// down each replica that it reaches and its caller sends it again to any host.
class crash_detector
{
public:
    /// Told of each strike that this host finds.
    using listener = std::function<void(const suspected_crash&)>;

    explicit crash_detector(listener on_strike);

    /// A call broke; it may or may not have crashed its replica.
    void note_broken(fingerprint request_fingerprint, const leaf_id& replica,
                     instant now);

    /// A request has ended: it was answered by some replica, or these calls
    /// broke and none was.
    void note_end(const caller_query& query, bool answered,
                  std::span<const leaf_id> broken, instant now);

    /// A replica refuses connections.
    void note_down(const leaf_id& replica, instant now);

    /// A replica has answered the request.
    void note_served(fingerprint request_fingerprint);

    /// Takes a strike that another host found. True when it is news.
    bool merge(const suspected_crash& strike);

    /// The request must not be sent to any replica.
    [[nodiscard]] bool quarantined(fingerprint request_fingerprint,
                                   instant now);

private:
    void strike(const suspected_crash& one);
    void forget_before(instant time);

    listener on_strike;
    quarantine_table table;

    /// Calls that broke a moment ago and whose replica is not known to be down.
    std::deque<suspected_crash> broken;
    std::map<leaf_id, instant> down_at;
    std::deque<suspected_crash> suspected_crashes;
};

} // namespace basilpath
