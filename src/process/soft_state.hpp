/// Soft state that spreads between hosts and ends by itself: quarantines and
/// marks of leaving hosts and leaves.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilpath
{

/// Bounded; what is told beyond the bound is not taken.
class soft_state
{
public:
    /// Monotonic time of this process.
    using time_point = std::chrono::milliseconds;

    /// How long a mark lasts unless it is made again.
    static constexpr std::chrono::milliseconds mark_time{60'000};

    static constexpr std::size_t entry_limit = 4096;

    /// Takes what was told; returns the part that was news, if any. An entry
    /// that is held already is news when it is told to last clearly longer.
    std::optional<wire::Soft> merge(const wire::Soft& told, time_point now);

    /// Drops what has ended; true when something has.
    bool expire(time_point now);

    /// Everything that is held, with the time that is left.
    [[nodiscard]] wire::Soft all(time_point now) const;

    /// Digest over the names of what is held, not over the times.
    [[nodiscard]] std::uint64_t digest() const;

    /// Fills the quarantines and marks of a State.
    void describe(wire::State& state, time_point now) const;

    [[nodiscard]] std::set<host_id> leaving_hosts() const;

private:
    /// A quarantined fingerprint.
    struct quarantine
    {
        time_point end{};
        std::vector<std::string> leaves;
    };

    using marks = std::map<std::string, time_point>;

    [[nodiscard]] std::size_t size() const;
    bool extend(marks& held, const std::string& name, time_point end);
    void merge_quarantines(const wire::Soft& told, time_point now,
                           wire::Soft& news);
    void merge_marks(const wire::Soft& told, time_point now, wire::Soft& news);

    std::map<std::uint64_t, quarantine> quarantines;
    marks hosts;
    marks leaves;
};

} // namespace basilpath
