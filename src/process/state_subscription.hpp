/// What the agent of this host says is in force, kept current.
#pragma once

#include "connection/wire.pb.h"
#include "process/system_state.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

class peer_hub;

/// Subscribes to the agent and holds the latest state. While the agent is
/// away the state stays as it was. A document is never replaced by one of a
/// lower number. Used on the io_context's thread; outlives its io_context's
/// run.
class state_subscription
{
public:
    using listener =
        std::function<void(const std::shared_ptr<const system_state>&)>;

    /// `program` names this process to the agent.
    state_subscription(boost::asio::io_context& context, peer_hub& hub,
                       peer_address agent, std::string program);
    ~state_subscription();
    state_subscription(const state_subscription&) = delete;
    state_subscription& operator=(const state_subscription&) = delete;

    /// Subscribes, and renews the subscription until the object is destroyed.
    void start();

    /// Takes a message of the agent.
    void receive(const wire::State& message);

    /// The latest state; empty members before the agent has told it, never
    /// null.
    [[nodiscard]] std::shared_ptr<const system_state> current() const;

    /// Calls `listen` after every change of the state.
    void on_change(listener listen);

private:
    /// The parts of one value of which the agent is told.
    struct held_value
    {
        std::uint64_t number = 0;
        std::uint64_t digest = 0;
    };

    void subscribe();
    [[nodiscard]] bool lacks_value(const wire::State& message) const;
    void take_document(const std::string& bytes, system_state& next);
    void take_targets(const std::string& bytes, system_state& next);
    void take_hosts(const std::string& bytes, system_state& next);

    boost::asio::io_context& context;
    peer_hub& hub;
    peer_address agent;
    std::string program;
    std::shared_ptr<boost::asio::steady_timer> timer;
    std::shared_ptr<const system_state> state;
    std::vector<listener> listeners;
    std::uint64_t digest = 0;
    held_value held_document;
    held_value held_targets;
    held_value held_hosts;
};

} // namespace basilpath
