/// Refuses requests at once when their services have more than they can do.
#pragma once

#include "process/admission_limit.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace basilpath
{

/// A request that was let in.
struct gate_pass
{
    service_name service;
    instant entered{};

    /// From then on its answer is late.
    instant soft_deadline{};

    /// Requests in time that were under way with it.
    std::size_t in_progress = 0;
};

/// How full a gate is.
struct gate_usage
{
    /// Requests under way that can still be in time.
    std::size_t under_way = 0;
    std::size_t limit = 0;
};

/// Counts the requests of this host that can still be in time, for each service
/// that they ask first, and lets in no more than would wait a short time. Late
/// ones do not count: they get what the others leave (`call_queue`). Answers
/// the load in which callers ask for several times what the replicas can do:
/// without it everything waits, and nearly everything is late.
class overload_gate
{
public:
    /// Lets a request in, unless as many are under way as may be.
    [[nodiscard]] std::optional<gate_pass>
    enter(const service_name& service, instant now, instant soft_deadline);

    /// How full the gate of a service is.
    [[nodiscard]] gate_usage usage(const service_name& service) const;

    /// A request has ended. `waited` is how long its calls had to wait before
    /// they were sent, `objective` the time in which it is to be answered.
    void leave(const gate_pass& pass, instant now, microseconds waited,
               microseconds objective);

private:
    /// The requests of one service that are under way.
    struct service_gate
    {
        service_gate();

        wait_limit limit;
        std::multiset<instant> in_time;
    };

    std::map<service_name, service_gate> services;
};

} // namespace basilpath
