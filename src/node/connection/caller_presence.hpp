/// Whether the caller of a request still waits for its answer.
#pragma once

#include <functional>
#include <utility>

namespace basilpath
{

/// Shared by the connection, which notices that the caller has gone, and by
/// the request, which then stops its work.
class caller_presence
{
public:
    [[nodiscard]] bool gone() const
    {
        return this->left;
    }

    /// Runs `action` when the caller goes.
    void on_gone(std::function<void()> action)
    {
        this->action = std::move(action);
    }

    /// Called by the connection, once.
    void leave()
    {
        this->left = true;
        if (this->action)
        {
            std::exchange(this->action, nullptr)();
        }
    }

private:
    bool left = false;
    std::function<void()> action;
};

} // namespace basilpath
