/// Telling the processes of the own host what is in force.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

/// A message for one subscriber.
struct feed_message
{
    peer_address to;
    wire::State state;
};

/// Remembers which processes subscribed and what each has been told. Says
/// nothing before it has been given a state.
class local_feed
{
public:
    using time_point = std::chrono::milliseconds;

    /// Replaces the state; its digest is worked out here. `state` holds the
    /// bytes of every value.
    void set_state(wire::State state);

    /// Notes a subscription and returns the answer to it, if there is one yet.
    std::optional<wire::State> subscribe(const peer_address& from,
                                         const wire::Subscribe& message,
                                         time_point now);

    /// Returns what has to be sent after a change, and forgets processes that
    /// have not been heard of for `subscriber_time_limit`.
    std::vector<feed_message> changes(time_point now);

    [[nodiscard]] std::size_t subscribers() const;

    static constexpr std::chrono::milliseconds subscriber_time_limit{10'000};

private:
    /// What one process is known to hold.
    struct subscriber
    {
        std::uint64_t digest = 0;
        std::map<std::string, std::uint64_t> held;
        time_point heard{};
    };

    [[nodiscard]] wire::State message_for(subscriber& to) const;

    std::optional<wire::State> state;
    std::map<peer_address, subscriber> known;
};

} // namespace basilpath
