/// One HTTP request that has reached a stand-in leaf.
#pragma once

#include "standin/leaf_connection.hpp"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace basilpath::standin
{

/// Answered at most once; destroyed unanswered, the caller hears nothing.
class leaf_call
{
public:
    using sender = std::function<void(int status, const std::string& body)>;

    leaf_call(std::shared_ptr<leaf_connection> connection, sender send)
        : connection(std::move(connection)), send(std::move(send))
    {
    }

    /// Sends the answer, unless the connection has ended.
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
