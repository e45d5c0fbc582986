/// The agent of one host: watches the platform when it is its turn, spreads
/// what is in force between hosts, and feeds the processes of its own host.
#pragma once

#include "connection/neighbour_session.hpp"
#include "connection/platform_source.hpp"
#include "process/event_report.hpp"
#include "process/gossip_state.hpp"
#include "process/local_feed.hpp"
#include "process/platform_watch.hpp"
#include "version/value_fetch.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilpath
{

/// What an agent is told at its start.
struct agent_options
{
    host_id id;
    incarnation start;

    /// Agents to ask at the start, beside those of the host list.
    std::vector<peer_address> seeds;

    /// The first call to the platform is made at a random time within this.
    std::chrono::milliseconds start_spread{200};
};

/// Owns the sessions of the agent. All calls on the executor's thread; `stop`
/// before the runtime ends.
template <runtime Runtime, peer_transport Transport, platform_source Platform>
class agent
    : public std::enable_shared_from_this<agent<Runtime, Transport, Platform>>
{
public:
    agent(Runtime& owner, Transport& transport, Platform& platform,
          agent_options options, event_report report);

    void start();
    void stop();

    /// Takes a message of another process.
    void receive(const peer_address& from, incarnation sender,
                 wire::Envelope message);

    /// What the agent knows, for status and metrics.
    [[nodiscard]] const gossip_state& state() const;

    /// Processes of the own host that are fed.
    [[nodiscard]] std::size_t subscribers() const;

    /// Hosts that the agent talks to.
    [[nodiscard]] std::size_t neighbours() const;

private:
    using time_point = typename Runtime::clock::time_point;
    using session = neighbour_session<Runtime, Transport>;
    using fetch = value_fetch<Runtime, Transport>;
    using watch = platform_watch<Runtime, Platform>;

    /// A value that some peer has and that is worth having.
    struct offer
    {
        peer_address source;
        wire::ValueDigest value;
    };

    /// A question that another host has asked for us to put.
    struct relayed_probe
    {
        peer_address asker;
        std::uint64_t sequence = 0;
        time_point since;
    };

    boost::asio::awaitable<void> join();
    boost::asio::awaitable<bool> join_step(time_point began);
    boost::asio::awaitable<void> read_hosts();
    boost::asio::awaitable<void> tick();
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> run_fetch(std::shared_ptr<fetch> one,
                                           offer from);

    void on_digest(const peer_address& from, const wire::Digest& message);
    void answer_digest(const peer_address& from, const wire::Digest& message,
                       const std::vector<host_id>& older);
    void on_values(const peer_address& from, const wire::Digest& message);
    void on_section_request(const peer_address& from,
                            const wire::SectionRequest& message);
    void on_soft(const peer_address& from, const wire::Soft& message);
    void on_probe(const peer_address& from, const wire::Probe& message);
    void on_subscribe(const peer_address& from, const wire::Subscribe& message);
    void on_status(const peer_address& from, const wire::StatusRequest& asked);

    void consider(const peer_address& from, const wire::ValueDigest& told);
    void start_fetch(offer from);
    void take(const std::string& name, std::string bytes, const char* source);
    bool is_faulty(const std::string& name, std::uint64_t number,
                   std::string_view bytes);
    void report_refusal(const std::string& name, std::uint64_t number,
                        offer_outcome outcome, const char* source);
    void update_neighbours();
    void accuse(const wire::Digest& message);
    void note_ready_peer(const peer_address& from, const wire::Digest& message);
    void answer_probe(const host_id& id, const relayed_probe& probe);
    void ask_helpers(const host_id& id, std::uint64_t sequence);
    void wake_sessions();
    void ask_dead_host();
    void publish();
    void send(const peer_address& to, wire::Envelope message);
    [[nodiscard]] bool all_answered() const;
    [[nodiscard]] soft_state::time_point soft_now() const;

    Runtime& owner;
    Transport& transport;
    Platform& platform;
    agent_options options;
    event_report report;
    gossip_state gossip;
    local_feed feed;
    typename watch::budget calls;
    std::map<host_id, std::shared_ptr<session>> sessions;
    std::vector<std::shared_ptr<watch>> watches;
    std::map<std::string, std::shared_ptr<fetch>> fetches;
    std::map<std::string, offer> waiting;
    std::map<host_id, relayed_probe> probes;
    std::map<std::string, std::uint64_t> refused;
    std::map<std::string, std::uint64_t> wanted_numbers;
    std::set<peer_address> ready_peers;
    std::set<host_id> answered;
    time_point first_ready_peer;
    bool unpublished = false;
    bool stopped = false;
};

} // namespace basilpath

#include "process/agent.ipp"
