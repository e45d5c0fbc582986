#include "node/process/overload_gate.hpp"

namespace basilpath
{

namespace
{

// A request may wait for its objective divided by this; the rest is for the
// replicas' work and for slow replicas.
constexpr std::int64_t wait_divisor = 3;

// The lower bound while waits are short is higher than that of a gate with a
// queue, because this gate refuses requests instead of queueing them.
constexpr limit_bounds gate_limits{2.0, 8.0};

} // namespace

overload_gate::service_gate::service_gate() : limit(gate_limits) {}

std::optional<admitted_request>
overload_gate::admit(const service_name& service, instant now,
                     instant soft_deadline)
{
    service_gate& gate = this->services[service];
    gate.soft_deadlines.erase(gate.soft_deadlines.begin(),
                              gate.soft_deadlines.upper_bound(now));
    if (gate.soft_deadlines.size() >= gate.limit.limit())
    {
        return std::nullopt;
    }
    gate.soft_deadlines.insert(soft_deadline);
    return admitted_request{service, now, soft_deadline,
                            gate.soft_deadlines.size()};
}

gate_usage overload_gate::usage(const service_name& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end()
               ? gate_usage{}
               : gate_usage{found->second.soft_deadlines.size(),
                            found->second.limit.limit()};
}

void overload_gate::release(const admitted_request& admitted, instant now,
                            microseconds waited, microseconds objective)
{
    service_gate& gate = this->services[admitted.service];
    const auto position = gate.soft_deadlines.find(admitted.soft_deadline);
    if (position != gate.soft_deadlines.end())
    {
        gate.soft_deadlines.erase(position);
    }
    gate.limit.learn({waited, objective / wait_divisor, true,
                      admitted.in_progress, now - admitted.admitted_at},
                     now.time_since_epoch());
}

} // namespace basilpath
