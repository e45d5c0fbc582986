/// Talking to one neighbour: news, comparisons and signs of life.
#pragma once

#include "connection/peer_hub.hpp"
#include "process/event_report.hpp"
#include "process/gossip_state.hpp"
#include "process/runtime.hpp"
#include "request/mailbox.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace basilpath
{

/// Lives as long as the host is a neighbour. Sends it news soon after they
/// come up, and a digest each period. A neighbour that is observed and does
/// not answer is asked through others, and declared dead when nobody hears it.
template <runtime Runtime, peer_transport Transport>
class neighbour_session
    : public std::enable_shared_from_this<neighbour_session<Runtime, Transport>>
{
public:
    /// Asks others to probe the neighbour.
    using helper = std::function<void(const host_id&, std::uint64_t sequence)>;

    neighbour_session(Runtime& owner, Transport& transport, gossip_state& state,
                      neighbour peer, helper ask_others, event_report report);

    /// Runs until the session is stopped.
    boost::asio::awaitable<void> run();

    /// Ends the session.
    void stop();

    /// Notes a sign of life, direct or through another host.
    void heard();

    /// Makes the session send what is new.
    void wake();

    [[nodiscard]] const neighbour& peer() const;

private:
    using time_point = typename Runtime::clock::time_point;

    /// A silence that has begun with a question.
    struct silence
    {
        time_point since;
        time_point last_question;
    };

    [[nodiscard]] time_point next_due() const;
    void send_news(time_point now);
    void send_digest(time_point now);
    void observe(time_point now);
    void ask(wire::Digest message, time_point now);

    Transport& transport;
    gossip_state& state;
    neighbour target;
    helper ask_others;
    event_report report;
    mailbox<Runtime, bool> inbox;
    std::uint64_t news_position;
    std::uint64_t sequence = 0;
    std::uint64_t values_told = 0;
    time_point next_digest;
    time_point next_news;
    std::optional<silence> unanswered;
    bool stopped = false;
};

} // namespace basilpath

#include "connection/neighbour_session.ipp"
