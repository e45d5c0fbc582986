/// Exchanges membership and store contents between hosts.
#pragma once

#include "node/connection/http_server.hpp"
#include "node/connection/packed_values.hpp"
#include "node/connection/peer_datagram.hpp"
#include "node/process/crash_detector.hpp"
#include "node/process/member_list.hpp"
#include "node/process/named_limits.hpp"
#include "node/process/store_view.hpp"
#include "node/process/traffic_meter.hpp"
#include "node/process/view_offers.hpp"
#include "node/process/view_send_limit.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace basilpath
{

/// Probes members by datagrams that carry gossip, the limits that replicas name
/// and the requests in quarantine, and fetches changes of the store that
/// another host's view has and this one's lacks. Not thread-safe.
class peer_exchange
{
public:
    peer_exchange(boost::asio::io_context& context, real_runtime& run,
                  member_list& members, store_view& view,
                  crash_detector& crashes, named_limits& limits,
                  traffic_meter& traffic, std::vector<peer_address> seeds);

    void start();

    /// Replaces the seeds, the hosts from which members are discovered.
    void set_seeds(std::vector<peer_address> addresses);

    /// Sends this host's changed description to some members at once.
    void push_state();

    /// Sends this host's changed description to the hosts that read the store
    /// first, and to some members.
    void push_state_to_readers();

    /// Sends a replica crash that this host found to the other hosts.
    void announce_crash(const suspected_crash& crash);

    /// Sets the function to call with the time from the first offer of a later
    /// view by another host until this host has it.
    void on_view_lag(std::function<void(microseconds)> handler)
    {
        this->lag_handler = std::move(handler);
    }

    /// Sets the function to call after each fetch of a view with its duration
    /// and whether it was received.
    void on_view_fetch(std::function<void(microseconds, bool)> handler)
    {
        this->fetch_handler = std::move(handler);
    }

    /// Number of datagrams sent.
    [[nodiscard]] std::uint64_t sent() const
    {
        return this->sent_count;
    }

private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> probe();
    boost::asio::awaitable<void> fetch_offered();
    boost::asio::awaitable<void> fetch(view_offers::taken_offer offer);
    boost::asio::awaitable<http_response>
    serve_view(std::shared_ptr<http_request> request);
    void count_remote(const peer_address& other, traffic_purpose purpose,
                      std::size_t bytes);
    void handle_datagram(const peer_datagram& datagram);
    void update_view(const peer_datagram& datagram, instant now);
    void send(const peer_address& to, datagram_kind kind, store_position known);
    void push_to_some(store_position known);
    void note_offer(store_position offered, instant time);
    void note_advance();
    void take_offer(const peer_datagram& datagram, instant time);
    [[nodiscard]] bool needs_fetcher(instant now) const;
    [[nodiscard]] bool is_dead(const peer_address& address) const;
    void log_member_changes();
    [[nodiscard]] std::vector<peer_address> unreached_seeds() const;

    boost::asio::io_context& context;
    real_runtime& run;
    member_list& members;
    store_view& view;
    crash_detector& crashes;
    named_limits& limits;
    traffic_meter& traffic;
    std::vector<peer_address> seeds;
    boost::asio::ip::udp::socket socket;
    node_http_server server;
    std::array<char, 65'536> received{};
    std::uint64_t sent_count = 0;
    std::uint64_t rounds = 0;
    std::function<void(microseconds)> lag_handler;
    std::function<void(microseconds, bool)> fetch_handler;

    /// The first offer of a view later than this host's.
    struct first_offer
    {
        store_position position;
        instant at;
    };
    std::optional<first_offer> pending_offer;

    view_offers offers;

    /// The hosts from which a view is being fetched, and since when.
    std::map<peer_address, instant> fetches;

    /// Number of running `fetch_offered`.
    std::size_t fetchers = 0;

    view_send_limit sends;
    packed_values packed;

    /// Recent replica crashes to gossip, oldest first.
    std::vector<suspected_crash> suspected_crashes;
};

} // namespace basilpath
