/// The link to one peer: a queue, one task that empties it, and heartbeats.
#pragma once

#include "connection/peer_hub.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nng/nng.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace basilpath
{

/// Keeps itself alive while its task runs. Used on the io_context's thread.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(boost::asio::io_context& context, peer_address to,
              peer_address own_address, incarnation own, peer_traffic& counters,
              const peer_hub_options& options);
    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Dials the peer and starts the task.
    void start();

    /// Ends the task and closes the link; what is queued is dropped.
    void stop();

    /// Queues a message; false when the queue is full or the peer is
    /// unresponsive.
    bool send(wire::Envelope message);

    /// Notes that something was received from the peer.
    void heard();

    /// Tells whether the peer is connected, or has only just been dialled, and
    /// has answered lately or has nothing to answer.
    [[nodiscard]] bool responsive() const;

    [[nodiscard]] std::size_t queued() const;

    /// Tells whether the link has been unused for so long that it is not kept.
    [[nodiscard]] bool closable() const;

private:
    using time_point = std::chrono::steady_clock::time_point;

    /// A message and when it was queued.
    struct queued_message
    {
        wire::Envelope message;
        time_point since;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> wait_for_work();
    boost::asio::awaitable<int> transmit(nng_msg* message);
    wire::Batch take_batch();
    void check_silence();
    void ask();
    [[nodiscard]] bool heartbeat_due(time_point now) const;
    void dial();
    void hang_up();
    void watch_pipes();
    void pipe_changed(bool added);
    [[nodiscard]] bool connected() const;

    boost::asio::io_context& context;
    peer_address to;
    peer_address own_address;
    incarnation own;
    peer_traffic& counters;
    peer_hub_options options;
    boost::asio::steady_timer timer;
    std::deque<queued_message> queue;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    nng_aio* aio = nullptr;
    std::function<void(int)> on_sent;
    int pipes = 0;
    bool stopped = false;
    bool awaiting_answer = false;
    time_point asked_at;
    time_point dialled_at;
    time_point heard_at;
    time_point used_at;
    std::optional<time_point> unanswered_since;
};

} // namespace basilpath
