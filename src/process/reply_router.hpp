/// Finds the session that a reply from another process belongs to.
#pragma once

#include "request/mailbox.hpp"
#include "request/peer_message.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

namespace basilpath
{

/// Mailboxes of the requests in progress by request id. A reply to a request
/// that has ended, or never was, is dropped and counted.
template <runtime Runtime>
class reply_router
{
public:
    using box = mailbox<Runtime, peer_message>;

    /// Opens the mailbox of a request. The caller owns it; the entry ends with
    /// `close`.
    std::shared_ptr<box> open(const request_id& id, Runtime& owner)
    {
        auto opened = std::make_shared<box>(owner);
        this->boxes[id] = opened;
        return opened;
    }

    void close(const request_id& id)
    {
        this->boxes.erase(id);
    }

    /// Hands a reply to its request; false when there is none.
    bool deliver(const request_id& id, peer_message message)
    {
        const auto found = this->boxes.find(id);
        const auto box =
            found == this->boxes.end() ? nullptr : found->second.lock();
        if (!box)
        {
            ++this->late_replies;
            return false;
        }
        box->push(std::move(message));
        return true;
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->boxes.size();
    }

    /// Replies that came for no request in progress.
    [[nodiscard]] std::uint64_t late() const
    {
        return this->late_replies;
    }

private:
    std::unordered_map<request_id, std::weak_ptr<box>> boxes;
    std::uint64_t late_replies = 0;
};

} // namespace basilpath
