/// What the answers of a replica say of its departure.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <optional>

namespace basilpath
{

namespace leaving_notice_bounds
{

/// Part of the replicas' drain timeout, as a divisor, for which a replica that
/// says that it leaves still gets requests if there is no other.
inline constexpr int last_choice_divisor = 2;

} // namespace leaving_notice_bounds

/// How far a replica is on its way out by its own answers.
enum class leaving_phase : std::uint8_t
{
    none,        ///< it has not said that it leaves
    last_choice, ///< it gets requests only if there is no other replica
    over         ///< it gets no requests
};

/// Holds for one process. A registration does not undo it: the entry in the
/// store is older than the answer.
class leaving_notice
{
public:
    /// Records an answer that says that the replica leaves; only the first one
    /// counts.
    void note(instant now, milliseconds drain_timeout)
    {
        if (!this->last_choice_until)
        {
            this->last_choice_until =
                now +
                drain_timeout / leaving_notice_bounds::last_choice_divisor;
        }
    }

    /// Returns whether the replica has said that it leaves.
    [[nodiscard]] bool given() const
    {
        return this->last_choice_until.has_value();
    }

    [[nodiscard]] leaving_phase phase(instant now) const
    {
        if (!this->last_choice_until)
        {
            return leaving_phase::none;
        }
        return now < *this->last_choice_until ? leaving_phase::last_choice
                                              : leaving_phase::over;
    }

private:
    std::optional<instant> last_choice_until;
};

} // namespace basilpath
