/// What hosts tell each other: who lives, and what the store holds.
#pragma once

#include "node/connection/http_server.hpp"
#include "node/connection/peer_datagram.hpp"
#include "node/process/crash_detector.hpp"
#include "node/process/member_list.hpp"
#include "node/process/store_view.hpp"
#include "node/process/traffic_meter.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace basilpath
{

/// Probes members by datagrams that carry news, and fetches what the view of
/// another host has more than this one's. Used on one thread.
class peer_exchange
{
public:
    peer_exchange(boost::asio::io_context& context, real_runtime& run,
                  member_list& members, store_view& view,
                  crash_detector& crashes, traffic_meter& traffic,
                  std::vector<peer_address> seeds);

    /// Starts to listen and to probe.
    void start();

    /// Takes other hosts to ask for hosts.
    void set_seeds(std::vector<peer_address> wanted);

    /// Tells some members at once what has changed of this host.
    void push();

    /// Tells the other hosts of a strike.
    void tell(const suspected_crash& strike);

    /// Datagrams sent so far.
    [[nodiscard]] std::uint64_t sent() const
    {
        return this->sent_count;
    }

private:
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> probe();
    boost::asio::awaitable<void> fetch(peer_address from);
    boost::asio::awaitable<void> fetch_later(peer_address from,
                                             store_revision offered);
    boost::asio::awaitable<http_response>
    answer_view(std::shared_ptr<http_request> request);
    void count_far(const peer_address& other, traffic_purpose purpose,
                   std::size_t bytes);
    void take(const peer_datagram& datagram);
    void take_view(const peer_datagram& datagram, instant now);
    void send(const peer_address& to, datagram_kind kind, store_revision known);
    void tell_some(store_revision known);
    void log_changes();
    [[nodiscard]] std::vector<peer_address> strangers() const;

    boost::asio::io_context& context;
    real_runtime& run;
    member_list& members;
    store_view& view;
    crash_detector& crashes;
    traffic_meter& traffic;
    std::vector<peer_address> seeds;
    boost::asio::ip::udp::socket socket;
    node_http_server server;
    std::array<char, 65'536> received{};
    std::uint64_t sent_count = 0;
    std::uint64_t rounds = 0;
    bool fetching = false;
    bool fetch_planned = false;

    /// Strikes that are told for a while.
    std::vector<suspected_crash> suspected_crashes;
};

} // namespace basilpath
