/// Quarantine of requests that crash the targets that run them.
#pragma once

#include "process/instant.hpp"
#include "process/proven_queries.hpp"
#include "version/ids.hpp"

#include <map>
#include <optional>
#include <vector>

namespace basilpath
{

/// State of a fingerprint.
enum class standing : std::uint8_t
{
    proven,     ///< a leaf has answered it
    unknown,    ///< no result has been seen
    suspect,    ///< a leaf went down while it ran the request
    quarantined ///< not attempted until the quarantine ends
};

/// The quarantine of one fingerprint, for other hosts.
struct quarantine
{
    fingerprint request_fingerprint;
    std::vector<leaf_id> leaves;
    microseconds remaining{0};
};

/// Counts the leaves that went down while they ran a fingerprint; by default
/// the second such crash quarantines it. A request that some leaf has answered
/// is proven and loses its crashes. An ordinary restart of a leaf makes the
/// requests that it ran suspects; only another run clears or quarantines them.
/// Fingerprint 0 means none and is proven.
class quarantine_table
{
public:
    /// Keeps up to `proven_limit` proven requests; a request is quarantined
    /// when its crashes exceed `crashes_allowed`.
    explicit quarantine_table(
        std::size_t proven_limit = default_proven_limit,
        std::size_t crashes_allowed = default_crashes_allowed);

    static constexpr std::size_t default_proven_limit = 100'000;
    static constexpr std::size_t default_crashes_allowed = 1;

    /// Returns the state at this time.
    [[nodiscard]] standing look_up(fingerprint request_fingerprint,
                                   instant now);

    /// Records that a leaf answered the request.
    void note_served(fingerprint request_fingerprint);

    /// Records that a leaf went down while it ran the request. `sent_as` is the
    /// state in which the request was sent: several leaves that go down at once
    /// with a proven request count as one crash. Returns the new state.
    standing note_crash(fingerprint request_fingerprint, const leaf_id& leaf,
                        instant now, standing sent_as);

    /// Adopts a quarantine of another host.
    void merge(fingerprint request_fingerprint, instant until, instant now);

    /// Starts a trial of a fingerprint that is not proven. Returns false when
    /// another trial of it is in progress, as only one runs at a time.
    bool begin_trial(fingerprint request_fingerprint);

    void end_trial(fingerprint request_fingerprint);

    /// Returns the quarantine of a fingerprint, for other hosts.
    [[nodiscard]] quarantine describe(fingerprint request_fingerprint,
                                      instant now) const;

    /// Returns up to `most` quarantines in force, without their leaves: those
    /// whose fingerprints follow `after`, then from the first one on.
    [[nodiscard]] std::vector<quarantine>
    in_force(fingerprint after, std::size_t most, instant now) const;

    /// Returns the number of fingerprints in quarantine.
    [[nodiscard]] std::size_t size(instant now) const;

private:
    /// A leaf that went down while it ran the request.
    struct crash
    {
        leaf_id leaf;
        instant at;
    };

    /// Crashes of one fingerprint and the end of its quarantine, if any.
    struct record
    {
        std::vector<crash> crashes;
        instant last;
        std::optional<instant> until;
    };

    void make_room(instant now);

    proven_queries proven;
    std::size_t crashes_allowed;
    std::map<fingerprint, record> records;
    std::vector<fingerprint> trials;
};

} // namespace basilpath
