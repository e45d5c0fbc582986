/// Whether something that this process depends on can be reached.
#pragma once

#include <optional>

namespace basilpath
{

/// Tells when a dependency is lost or reached, also for the first time.
class dependency_state
{
public:
    /// A call has ended; true when that is news.
    [[nodiscard]] bool note(bool reached)
    {
        const bool news = this->reachable != reached;
        this->reachable = reached;
        return news;
    }

private:
    /// Nothing before the first call.
    std::optional<bool> reachable;
};

} // namespace basilpath
