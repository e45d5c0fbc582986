/// Requests that crash the targets that run them.
#pragma once

#include "process/instant.hpp"
#include "process/proven_queries.hpp"
#include "version/ids.hpp"

#include <map>
#include <optional>
#include <vector>

namespace basilpath
{

/// What is known of a fingerprint.
enum class standing : std::uint8_t
{
    proven,     ///< a leaf has served it
    unknown,    ///< never seen to end
    suspect,    ///< a leaf was lost while running it
    quarantined ///< not attempted for a time
};

/// A fingerprint that has been quarantined.
struct quarantine
{
    fingerprint request_fingerprint;
    std::vector<leaf_id> leaves;
    microseconds remaining{0};
};

/// Counts leaves lost to a fingerprint. At the second it is quarantined. A
/// request that is served anywhere is proven and has nothing against it, so
/// that a leaf's ordinary restart makes its requests suspects, but only their
/// re-run can clear or convict them. Fingerprint 0 means none and is proven.
class quarantine_table
{
public:
    /// Remembers up to `proven_limit` requests that were served, and
    /// quarantines a request at the strike after `strikes_allowed`.
    explicit quarantine_table(
        std::size_t proven_limit = default_proven_limit,
        std::size_t strikes_allowed = default_strikes_allowed);

    static constexpr std::size_t default_proven_limit = 100'000;
    static constexpr std::size_t default_strikes_allowed = 1;

    /// What is known at this time.
    [[nodiscard]] standing look_up(fingerprint request_fingerprint,
                                   instant now);

    /// Notes that a leaf served the request.
    void note_served(fingerprint request_fingerprint);

    /// Notes that a leaf went down while it ran the request. `sent_as` is what
    /// was known when it was sent: several leaves lost at once to a proven
    /// request count as one. Returns what is known now.
    standing note_crash(fingerprint request_fingerprint, const leaf_id& leaf,
                        instant now, standing sent_as);

    /// Takes over a quarantine that another host has found.
    void merge(fingerprint request_fingerprint, instant until);

    /// One trial of a fingerprint that is not proven runs at a time; false
    /// when another is in progress.
    bool begin_trial(fingerprint request_fingerprint);

    /// Ends a trial.
    void end_trial(fingerprint request_fingerprint);

    /// The quarantine of a fingerprint, to tell others of.
    [[nodiscard]] quarantine describe(fingerprint request_fingerprint,
                                      instant now) const;

    /// Fingerprints in quarantine.
    [[nodiscard]] std::size_t size(instant now) const;

private:
    /// A leaf that was lost.
    struct strike
    {
        leaf_id leaf;
        instant at;
    };

    /// Strikes of one fingerprint and the end of its quarantine, if any.
    struct record
    {
        std::vector<strike> strikes;
        instant last;
        std::optional<instant> until;
    };

    void make_room(instant now);

    proven_queries proven;
    std::size_t strikes_allowed;
    std::map<fingerprint, record> records;
    std::vector<fingerprint> trials;
};

} // namespace basilpath
