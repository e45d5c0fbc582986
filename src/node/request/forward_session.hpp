/// Runs one request that a single replica answers.
#pragma once

#include "node/connection/caller_presence.hpp"
#include "node/process/forward_policy.hpp"
#include "node/request/decision_trace.hpp"
#include "node/request/request_services.hpp"
#include "node/request/target_call.hpp"
#include "node/version/route_table.hpp"
#include "request/mailbox.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace basilpath
{

/// How a forwarded request ended.
enum class forward_end : std::uint8_t
{
    answered,     ///< a replica answered, perhaps with a failure
    caller_left,  ///< the caller closed its connection
    not_run,      ///< no replica has run the request or will
    may_have_run, ///< it was sent, and no whole answer arrived
    contradicted  ///< a replica that may have run it answered with a status
                  ///< that states that it has not
};

struct forward_result
{
    forward_end end = forward_end::not_run;
    target_reply reply;

    /// Number of calls beyond the first.
    std::size_t repeats = 0;

    /// When a replica at the limit that it names is expected to have room;
    /// nothing if no replica was left out for this reason, the longest time if
    /// this host has no share of any limit.
    std::optional<microseconds> room_in;

    /// Whether the service had only replicas in evacuated failure domains.
    bool evacuated = false;
};

/// Sends a request to one replica of a service, and to another one when the
/// first fails or is slow and the request is idempotent. A request that is not
/// idempotent is sent again only while no replica may have run it.
template <runtime Runtime, target_transport Transport>
class forward_session
    : public std::enable_shared_from_this<forward_session<Runtime, Transport>>
{
public:
    using services = request_services<Runtime, Transport>;

    forward_session(services& shared, std::shared_ptr<const route_table> table,
                    const route& rule, service_name service,
                    std::shared_ptr<const caller_query> query,
                    forward_times times, decision_trace& trace);

    /// Runs the request until it is answered, fails or the caller disconnects.
    boost::asio::awaitable<forward_result>
    run(std::shared_ptr<caller_presence> presence);

private:
    struct call_event
    {
        std::shared_ptr<target_call> call;
        target_result result;
    };

    bool call_replica();
    [[nodiscard]] forward_end unanswered_end() const;
    [[nodiscard]] bool is_repeat() const;
    void cancel_unsent();
    [[nodiscard]] bool crashes() const;
    [[nodiscard]] bool contradicts_run(const target_reply& reply) const;
    [[nodiscard]] std::optional<forward_result> take(call_event event);
    [[nodiscard]] forward_result conclude(forward_end end);
    [[nodiscard]] instant now() const;

    services& shared;
    std::shared_ptr<const route_table> table;
    const route& rule;
    service_name service;
    std::shared_ptr<const caller_query> query;
    forward_plan plan;
    decision_trace& trace;
    std::vector<leaf_id> asked;
    std::vector<std::shared_ptr<target_call>> calls;

    /// Calls that were written to a connection or still may be.
    std::size_t sends = 0;

    /// A call has reached a replica; a further one is a repeat.
    bool reached_replica = false;
    instant hedge_at{};

    /// A connection broke during a call; its replica may have crashed.
    bool any_broken = false;

    /// A replica may have run the request.
    bool may_have_run = false;

    std::optional<microseconds> room_in;
    bool evacuated = false;

    /// The last failure that a replica answered with.
    std::optional<target_reply> failure;
    mailbox<Runtime, call_event> events;
};

} // namespace basilpath
