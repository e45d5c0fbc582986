/// One request to one replica, and what came of it.
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

/// What a replica says of its load; old by the time it arrives.
struct replica_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;

    /// How long work takes on its machine, 1 as usual.
    double slowdown = 1.0;
};

/// The answer of a replica.
struct target_reply
{
    unsigned status = 0;

    /// Headers that pass to the caller.
    std::vector<message_header> headers;
    std::string body;

    /// Proof of the replica that it made this answer; empty when it has none.
    std::string signature;

    /// The request to which the replica says it belongs, if it says so.
    std::optional<request_id> echoed_request_id;

    /// The replica did not run the request and will not.
    bool not_executed = false;

    std::optional<replica_load> load;

    /// How long the replica keeps an idle connection, if it says so.
    std::optional<milliseconds> keep_alive_timeout;

    [[nodiscard]] bool success() const
    {
        return this->status >= 200 && this->status < 300;
    }

    /// The replica at this address is another one.
    [[nodiscard]] bool misdirected() const
    {
        return this->status == 421;
    }
};

/// How a call ended.
enum class call_end : std::uint8_t
{
    answered, ///< the replica answered, perhaps with a failure
    unsent,   ///< no byte of it has left
    broken    ///< it left, and may have run; no whole answer came
};

/// What came of a call.
struct target_result
{
    call_end end = call_end::unsent;
    target_reply reply;

    /// From the sending to the end.
    microseconds latency{0};
};

/// A call under way. Shared by the session that waits for it and by the
/// connection that carries it; the session may give it up at any time.
struct target_call
{
    std::shared_ptr<const caller_query> query;
    leaf_id to;

    /// Name of the route, for the statistics of the replica.
    std::string route;

    /// Until when the answer earns full credit; later it is worth little.
    instant soft_deadline{};

    /// Until when the answer is of any use.
    instant deadline{};

    /// Must not meet a connection that the replica may just be closing.
    bool needs_fresh_connection = false;

    /// Called once, unless the session gave the call up.
    std::function<void(target_result)> done;

    // Set by the transport.
    instant sent{};
    bool on_wire = false;
    bool abandoned = false;

    /// After this a call that was given up loses its connection.
    instant connection_close_at{};
};

} // namespace basilpath
