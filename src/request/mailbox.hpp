/// A message queue with one consumer.
#pragma once

#include "process/runtime.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <optional>
#include <utility>

namespace basilpath
{

/// An asynchronous queue of messages of one type. All calls are made on the
/// thread of the runtime's executor; at most one task waits at a time.
template <runtime Runtime, class Message>
class mailbox
{
public:
    using time_point = typename Runtime::clock::time_point;

    explicit mailbox(Runtime& owner) : timer(owner.executor()) {}

    /// Adds a message and wakes the waiting task.
    void push(Message message)
    {
        this->messages.push_back(std::move(message));
        this->timer.cancel();
    }

    /// Wakes the waiting task without a message.
    void wake()
    {
        this->woken = true;
        this->timer.cancel();
    }

    /// Returns the next message; nothing when `until` passes first or `wake` is
    /// called.
    boost::asio::awaitable<std::optional<Message>> pop_until(time_point until)
    {
        if (this->messages.empty() && !this->woken &&
            Runtime::clock::now() < until)
        {
            this->timer.expires_at(until);
            co_await this->timer.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        this->woken = false;
        co_return this->take();
    }

    /// Returns the next message; nothing when there is none.
    std::optional<Message> take()
    {
        if (this->messages.empty())
        {
            return std::nullopt;
        }
        std::optional<Message> first(std::move(this->messages.front()));
        this->messages.pop_front();
        return first;
    }

private:
    std::deque<Message> messages;
    typename Runtime::timer timer;
    bool woken = false;
};

} // namespace basilpath
