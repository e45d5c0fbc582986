#include "process/local_feed.hpp"

#include "version/value_sections.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

// Digest over a state without the time that is left of its quarantines.
std::uint64_t state_digest(wire::State state)
{
    state.clear_document();
    state.clear_targets();
    state.clear_hosts();
    state.clear_digest();
    for (wire::Quarantine& one : *state.mutable_quarantines())
    {
        one.clear_remaining_ms();
    }
    // Zero means "none", so it is never the digest of a state.
    return std::max<std::uint64_t>(content_digest(state.SerializeAsString()),
                                   1);
}

} // namespace

void local_feed::set_state(wire::State state)
{
    state.set_digest(state_digest(state));
    this->state = std::move(state);
}

std::optional<wire::State> local_feed::subscribe(const peer_address& from,
                                                 const wire::Subscribe& message,
                                                 time_point now)
{
    subscriber& process = this->known[from];
    process.heard = now;
    process.digest = message.digest();
    process.held.clear();
    for (const wire::ValueDigest& one : message.held())
    {
        process.held[one.name()] = one.digest();
    }
    if (!this->state)
    {
        return std::nullopt;
    }
    return this->message_for(process);
}

std::vector<feed_message> local_feed::changes(time_point now)
{
    std::erase_if(this->known, [now](const auto& entry)
                  { return now - entry.second.heard > subscriber_time_limit; });
    std::vector<feed_message> messages;
    if (!this->state)
    {
        return messages;
    }
    for (auto& [address, process] : this->known)
    {
        if (process.digest != this->state->digest())
        {
            messages.push_back({address, this->message_for(process)});
        }
    }
    return messages;
}

std::size_t local_feed::subscribers() const
{
    return this->known.size();
}

// Leaves out every value that the process already holds, and notes that it
// will hold the rest. Should the message be lost, the next subscription of the
// process says so.
wire::State local_feed::message_for(subscriber& to) const
{
    wire::State message;
    message.set_digest(this->state->digest());
    if (std::exchange(to.digest, this->state->digest()) ==
        this->state->digest())
    {
        return message;
    }
    message = *this->state;
    for (const wire::ValueDigest& one : this->state->values())
    {
        if (std::exchange(to.held[one.name()], one.digest()) != one.digest())
        {
            continue;
        }
        if (one.name() == "document")
        {
            message.clear_document();
        }
        else if (one.name() == "targets")
        {
            message.clear_targets();
        }
        else if (one.name() == "hosts")
        {
            message.clear_hosts();
        }
    }
    return message;
}

} // namespace basilpath
