/// Refuses requests immediately when their services are overloaded.
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

/// A request that was admitted.
struct admitted_request
{
    service_name service;
    instant admitted_at{};

    /// An answer after this time is late.
    instant soft_deadline{};

    /// Requests in progress that could still be in time, including this one.
    std::size_t in_progress = 0;
};

/// Load of a gate.
struct gate_usage
{
    /// Requests in progress that can still be in time.
    std::size_t under_way = 0;
    std::size_t limit = 0;
};

/// Admission control of this host. Counts, for each service that requests call
/// first, the requests in progress that can still be in time, and admits no
/// more than would wait a short time. Late requests do not count: they use the
/// capacity that the others leave (`call_queue`). Needed when callers send
/// several times what the replicas can serve: without it all requests wait, and
/// nearly all answers are late.
class overload_gate
{
public:
    /// Admits a request, or returns nothing when the limit is reached.
    [[nodiscard]] std::optional<admitted_request>
    admit(const service_name& service, instant now, instant soft_deadline);

    /// Returns the load of a service's gate.
    [[nodiscard]] gate_usage usage(const service_name& service) const;

    /// Removes a request that has ended. `waited` is how long its calls waited
    /// to be sent, `objective` the time in which it should be answered.
    void release(const admitted_request& admitted, instant now,
                 microseconds waited, microseconds objective);

private:
    /// Requests in progress of one service.
    struct service_gate
    {
        service_gate();

        wait_limit limit;
        std::multiset<instant> soft_deadlines;
    };

    std::map<service_name, service_gate> services;
};

} // namespace basilpath
