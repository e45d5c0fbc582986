/// One request to one replica, and its result.
#pragma once

#include "node/request/caller_query.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilpath
{

class memory_charge;

/// Load that a replica reports with an answer; outdated by the time it arrives.
struct replica_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;

    /// Factor on the usual time that work takes on the replica's machine; 1 is
    /// the usual time, more is slower.
    double slowdown = 1.0;
};

/// Answer of a replica.
struct target_reply
{
    unsigned status = 0;

    /// Headers passed on to the caller.
    std::vector<message_header> headers;
    std::string body;

    /// The bytes of the body against the host's bound; may be null.
    std::shared_ptr<const memory_charge> memory;

    /// The replica's signature of this answer; empty when there is none.
    std::string signature;

    /// The request id that the replica echoed, if any.
    std::optional<request_id> echoed_request_id;

    /// The replica did not run the request and will not.
    bool not_executed = false;

    /// A rejection that may be a copy of an answer to an earlier request: it
    /// proves nothing about this one.
    bool unattributed = false;

    /// The replica that answered, if the answer names it.
    std::optional<leaf_id> responder;

    /// The replica says that it leaves: it accepts no new requests.
    bool leaving = false;

    std::optional<replica_load> load;

    /// The rate that the replica accepts from all hosts together; nothing when
    /// it names none.
    std::optional<request_rate> named_limit;

    /// For how much longer the replica is cold; nothing when it does not say.
    std::optional<milliseconds> cold_left;

    /// How long the replica keeps an idle connection open, if it announces it.
    std::optional<milliseconds> keep_alive_timeout;

    [[nodiscard]] bool success() const
    {
        return this->status >= 200 && this->status < 300;
    }

    /// Returns whether the address belongs to another replica.
    [[nodiscard]] bool misdirected() const
    {
        return this->status == 421;
    }
};

/// Why a call is made.
enum class call_purpose : std::uint8_t
{
    first,     ///< the first call of a request to a service
    retry,     ///< an earlier call failed
    hedge,     ///< an earlier call is slow
    delegated, ///< on behalf of a host in another failure domain
    probe      ///< a health check
};

/// How a call ended.
enum class call_end : std::uint8_t
{
    answered, ///< the replica answered, perhaps with a failure
    unsent,   ///< no byte of the call was sent
    broken    ///< sent, perhaps run; no whole answer arrived
};

/// The connection that carried a call.
struct connection_use
{
    /// Its local port, which names it in the logs of both ends; zero when no
    /// connection carried the call.
    std::uint16_t local_port = 0;

    /// Number of calls that it has carried, this one included.
    std::uint64_t calls = 0;
};

/// Result of a call.
struct target_result
{
    call_end end = call_end::unsent;
    target_reply reply;

    /// Time from sending the call to its end.
    microseconds latency{0};

    connection_use connection{};
};

/// A pending call, shared by the session that waits for its result and the
/// connection that sends it. The session may abandon it at any time.
struct target_call
{
    std::shared_ptr<const caller_query> query;
    leaf_id to;

    /// Name of the route, for the statistics of the replica.
    std::string route;

    call_purpose purpose = call_purpose::first;

    /// Until when the answer earns full credit; a later one is worth little.
    instant soft_deadline{};

    /// Until when the answer is useful at all.
    instant deadline{};

    /// Must not be sent on a connection that the replica may be closing, or
    /// whose earlier answers can pass for one to this call.
    bool needs_reliable_connection = false;

    /// Called once, unless the session abandoned the call.
    std::function<void(target_result)> done;

    // Set by the transport.
    instant sent{};
    bool on_wire = false;

    /// Whether the replica gets this call to see if it answers again.
    bool trial = false;
    bool abandoned = false;

    /// Whether a replica had answered the request when the session abandoned
    /// this call: a request that crashes replicas is never answered.
    bool request_answered = false;

    /// When the connection of an abandoned call is closed.
    instant connection_close_at{};
};

} // namespace basilpath
