/// Noticing that this process did not run for a while.
#pragma once

#include "process/instant.hpp"

#include <optional>

namespace basilpath
{

/// Told the time often; a gap means that the process was paused, and what was
/// measured across the gap tells nothing of others.
class pause_watch
{
public:
    /// Notes that the process runs; true when it was paused before.
    bool note(instant now);

    /// Tells whether the process was paused since this time.
    [[nodiscard]] bool paused_since(instant start) const;

private:
    std::optional<instant> last;
    std::optional<instant> resumed;
};

} // namespace basilpath
