/// One HTTP request and the single answer to it.
#pragma once

#include "connection/http_answer.hpp"

#include <functional>
#include <string>
#include <utility>

namespace basilpath
{

/// Owned by the session that answers it; used on the io_context's thread only.
/// When it is destroyed unanswered, the caller gets status 500.
class http_exchange
{
public:
    /// `send` is called once, with the answer.
    explicit http_exchange(std::function<void(http_answer)> send)
        : send(std::move(send))
    {
    }

    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    ~http_exchange()
    {
        this->reply({500, "{\"name\":\"unanswered\"}", "application/json", {}});
    }

    std::string method;

    /// Path without the query string.
    std::string path;

    /// Query string without the question mark.
    std::string query;

    std::string body;

    /// Sends the answer; a second call does nothing.
    void reply(http_answer answer)
    {
        if (this->send)
        {
            std::exchange(this->send, nullptr)(std::move(answer));
        }
    }

    /// Runs `action` when the caller goes away before it was answered.
    void on_cancel(std::function<void()> action)
    {
        this->cancel_action = std::move(action);
    }

    /// Tells that the caller has gone away.
    [[nodiscard]] bool cancelled() const
    {
        return this->gone;
    }

    /// Called by the server when the caller's connection has ended.
    void cancel()
    {
        this->gone = true;
        if (this->cancel_action)
        {
            std::exchange(this->cancel_action, nullptr)();
        }
    }

private:
    std::function<void(http_answer)> send;
    std::function<void()> cancel_action;
    bool gone = false;
};

} // namespace basilpath
