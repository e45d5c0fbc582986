/// Requirements of the sessions on the transport to replicas.
#pragma once

#include "node/process/placement.hpp"
#include "node/process/route_latency.hpp"
#include "node/request/target_call.hpp"
#include "node/version/route.hpp"

#include <concepts>
#include <memory>
#include <string>
#include <vector>

namespace basilpath
{

/// Sends calls to replicas and tracks their health: `target_pool` in the
/// program, a scripted transport in tests.
template <class Transport>
concept target_transport =
    requires(Transport& transport, const service_name& service,
             const std::string& route, const std::shared_ptr<target_call>& call,
             milliseconds grace) {
        transport.candidates(service);
        transport.send(call);
        transport.abandon(call, grace);
        transport.note_unplaced(service);
        transport.latency(route);
        transport.domain();
        {
            transport.room_is_scarce(service)
        } -> std::same_as<bool>;
    };

} // namespace basilpath
