/// An HTTP request received by a stand-in leaf.
#pragma once

#include "standin/leaf_connection.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace basilpath::standin
{

/// Sends at most one response, and none if it is destroyed unanswered.
class leaf_call
{
public:
    using sender = std::function<void(int status, const std::string& body)>;

    leaf_call(std::shared_ptr<leaf_connection> connection, sender send)
        : connection(std::move(connection)), send(std::move(send))
    {
    }

    /// Sends the response unless the connection is closed or one was sent.
    void answer(int status, const std::string& body)
    {
        const sender once = std::exchange(this->send, nullptr);
        if (once && this->connection->open())
        {
            once(status, body);
        }
    }

    std::string path;
    std::string body;
    std::shared_ptr<leaf_connection> connection;

private:
    sender send;
};

} // namespace basilpath::standin
