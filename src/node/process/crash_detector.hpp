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
struct crash_strike
{
    fingerprint print;
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
    using listener = std::function<void(const crash_strike&)>;

    explicit crash_detector(listener on_strike);

    /// A call broke; it may or may not have crashed its replica.
    void note_broken(fingerprint print, const leaf_id& replica, instant now);

    /// A request has ended: it was answered by some replica, or these calls
    /// broke and none was.
    void note_end(const caller_query& query, bool answered,
                  std::span<const leaf_id> broken, instant now);

    /// A replica refuses connections.
    void note_down(const leaf_id& replica, instant now);

    /// A replica has answered the request.
    void note_served(fingerprint print);

    /// Takes a strike that another host found. True when it is news.
    bool merge(const crash_strike& strike);

    /// The request must not be sent to any replica.
    [[nodiscard]] bool quarantined(fingerprint print, instant now);

private:
    void strike(const crash_strike& one);
    void forget_before(instant time);

    listener on_strike;
    quarantine_table table;

    /// Calls that broke a moment ago and whose replica is not known to be down.
    std::deque<crash_strike> broken;
    std::map<leaf_id, instant> down_at;
    std::deque<crash_strike> strikes;
};

} // namespace basilpath
