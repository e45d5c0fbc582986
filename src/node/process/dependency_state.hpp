/// Tracks whether a dependency of this process is reachable.
#pragma once

#include <optional>

namespace basilpath
{

/// Detects when a dependency becomes reachable or unreachable, including the
/// result of the first call.
class dependency_state
{
public:
    /// Records the result of a call. Returns whether the state changed.
    [[nodiscard]] bool update(bool reached)
    {
        const bool changed = this->reachable != reached;
        this->reachable = reached;
        return changed;
    }

private:
    /// Empty before the first call.
    std::optional<bool> reachable;
};

} // namespace basilpath
