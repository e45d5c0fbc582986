/// The state of the connection to the caller of a request.
#pragma once

#include "version/ids.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace basilpath
{

/// Shared by the HTTP session, which detects that the caller has disconnected,
/// and by the request session, which then stops its work.
class caller_presence
{
public:
    /// `request_delay` estimates how long ago the caller began the attempt:
    /// half a round trip, plus one round trip when the connection is new.
    caller_presence(std::chrono::microseconds request_delay,
                    std::chrono::microseconds reply_delay)
        : inbound_delay(request_delay), outbound_delay(reply_delay)
    {
    }

    /// Returns the estimated time from the start of the attempt to the arrival
    /// of its request.
    [[nodiscard]] std::chrono::microseconds request_delay() const
    {
        return this->inbound_delay;
    }

    /// Returns the estimated network delay of the answer.
    [[nodiscard]] std::chrono::microseconds reply_delay() const
    {
        return this->outbound_delay;
    }

    /// Returns the id of the request; empty until it has been decoded.
    [[nodiscard]] const request_id& request() const
    {
        return this->id;
    }

    void set_request(request_id decoded)
    {
        this->id = std::move(decoded);
    }

    /// Keeps `memory` until the answer has been sent.
    void hold(std::shared_ptr<const void> memory)
    {
        this->held = std::move(memory);
    }

    [[nodiscard]] bool disconnected() const
    {
        return this->disconnect_notified;
    }

    /// Runs `action` when the caller disconnects; at once when it already has.
    void on_disconnect(std::function<void()> action)
    {
        if (this->disconnect_notified)
        {
            action();
            return;
        }
        this->action = std::move(action);
    }

    /// Marks the caller as disconnected. The HTTP session calls this once.
    void notify_disconnect()
    {
        this->disconnect_notified = true;
        if (this->action)
        {
            std::exchange(this->action, nullptr)();
        }
    }

private:
    request_id id;
    std::shared_ptr<const void> held;
    std::chrono::microseconds inbound_delay;
    std::chrono::microseconds outbound_delay;
    bool disconnect_notified = false;
    std::function<void()> action;
};

} // namespace basilpath
