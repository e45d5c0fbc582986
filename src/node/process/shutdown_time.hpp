/// When a host that stops must have answered all requests.
#pragma once

#include "process/instant.hpp"

#include <boost/signals2/connection.hpp>
#include <boost/signals2/signal.hpp>

#include <algorithm>
#include <functional>
#include <optional>

namespace basilpath
{

/// Shared by the sessions of a host. Ends each session in time, so that its
/// caller gets an answer before the process ends.
class shutdown_time
{
public:
    /// Refuses requests that arrive from `refuse_from` on, and ends the
    /// sessions in progress at `answers_due`. Wakes them to take note of it.
    void set(instant refuse_from, instant answers_due)
    {
        this->refusing_since = refuse_from;
        this->end = answers_due;
        this->changed();
    }

    /// Returns whether a request that arrives now must be refused.
    [[nodiscard]] bool refuses(instant now) const
    {
        return this->refusing_since && now >= *this->refusing_since;
    }

    /// Returns whether all sessions must have ended.
    [[nodiscard]] bool reached(instant now) const
    {
        return this->end && now >= *this->end;
    }

    /// Returns the earlier one of a deadline and the end of all sessions.
    [[nodiscard]] instant limit(instant deadline) const
    {
        return this->end ? std::min(deadline, *this->end) : deadline;
    }

    /// Calls `action` when the shutdown is set, while the connection exists.
    [[nodiscard]] boost::signals2::connection
    on_set(const std::function<void()>& action)
    {
        return this->changed.connect(action);
    }

private:
    std::optional<instant> refusing_since;
    std::optional<instant> end;
    boost::signals2::signal<void()> changed;
};

} // namespace basilpath
