/// Whether the caller of a request still waits for its answer.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

namespace basilpath
{

/// Shared by the connection, which notices that the caller has gone, and by
/// the request, which then stops its work.
class caller_presence
{
public:
    /// `request_delay` is how long ago the caller began the attempt, as far as
    /// the network tells: half a round trip, and one more when it connected
    /// anew.
    caller_presence(std::chrono::microseconds request_delay,
                    std::chrono::microseconds reply_delay)
        : before(request_delay), after(reply_delay)
    {
    }

    /// Time that the attempt took until its request arrived.
    [[nodiscard]] std::chrono::microseconds request_delay() const
    {
        return this->before;
    }

    /// Time that the answer will take.
    [[nodiscard]] std::chrono::microseconds reply_delay() const
    {
        return this->after;
    }

    [[nodiscard]] bool disconnected() const
    {
        return this->left;
    }

    /// Runs `action` when the caller goes, at once when it has gone already.
    void on_disconnect(std::function<void()> action)
    {
        if (this->left)
        {
            action();
            return;
        }
        this->action = std::move(action);
    }

    /// Called by the connection, once.
    void notify_disconnect()
    {
        this->left = true;
        if (this->action)
        {
            std::exchange(this->action, nullptr)();
        }
    }

private:
    std::chrono::microseconds before;
    std::chrono::microseconds after;
    bool left = false;
    std::function<void()> action;
};

} // namespace basilpath
