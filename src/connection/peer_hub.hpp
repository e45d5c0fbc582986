/// Messages between basilpath's own processes, over nng.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace basilpath
{

/// What a process needs to send messages to others. Sending never blocks and
/// never repeats a message.
template <class Transport>
concept peer_transport =
    requires(Transport& t, const peer_address& to, wire::Envelope message) {
        {
            t.send(to, std::move(message))
        } -> std::same_as<bool>;
        {
            t.responsive(to)
        } -> std::same_as<bool>;
    };

/// Counters of everything a hub has sent and received.
struct peer_traffic
{
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t dropped = 0;
};

/// How a hub looks after its links.
struct peer_hub_options
{
    /// A link on which a message has had nothing after it for so long asks for
    /// a sign of life.
    std::chrono::milliseconds heartbeat_interval{50};

    /// A peer that has not answered for so long is unresponsive; after twice
    /// that its link is made anew.
    std::chrono::milliseconds silence_limit{250};

    /// A link that nothing was sent on for so long is unused.
    std::chrono::milliseconds idle_limit{10'000};

    /// An unused link is closed after so long.
    std::chrono::milliseconds close_limit{60'000};

    /// A used link on which everything was answered asks after so long.
    std::chrono::milliseconds idle_heartbeat{1'000};
};

/// Hears messages at one address and keeps one task and one link for each
/// peer that it sends to. Messages to one peer that wait together travel
/// together. A peer that is written to and not heard from is unresponsive, and
/// its link is made anew.
class peer_hub
{
public:
    using handler = std::function<void(const peer_address& from,
                                       incarnation sender, wire::Envelope)>;

    /// Listens at `address`; port 0 lets the system choose. Throws
    /// `std::runtime_error` when the address cannot be had.
    peer_hub(boost::asio::io_context& context, const peer_address& address,
             incarnation own, handler receive, peer_hub_options options = {});
    ~peer_hub();
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;

    /// The address that is listened at, with the port in effect.
    [[nodiscard]] const peer_address& address() const;

    /// Queues a message. False when the peer's queue is full or the peer is
    /// unresponsive; then the message is certain not to be sent.
    bool send(const peer_address& to, wire::Envelope message);

    /// Tells whether the peer has answered lately, or was never asked.
    [[nodiscard]] bool responsive(const peer_address& to) const;

    [[nodiscard]] const peer_traffic& traffic() const;

    /// Links to peers that are open.
    [[nodiscard]] std::size_t links() const;

    /// Messages queued and not yet handed to the network.
    [[nodiscard]] std::size_t queued() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

static_assert(peer_transport<peer_hub>);

} // namespace basilpath
