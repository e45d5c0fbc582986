#include "node/process/overload_gate.hpp"

namespace basilpath
{

namespace
{

// A request may wait for this part of its objective; the rest is for the
// replicas to work and for some of them to be slow.
constexpr std::int64_t wait_divisor = 3;

// More room while waits are short than where requests can wait at the gate, as
// here they are refused.
constexpr limit_bounds gate_limits{2.0, 8.0};

} // namespace

overload_gate::service_gate::service_gate() : limit(gate_limits) {}

std::optional<gate_pass> overload_gate::enter(const service_name& service,
                                              instant now,
                                              instant soft_deadline)
{
    service_gate& gate = this->services[service];
    gate.in_time.erase(gate.in_time.begin(), gate.in_time.upper_bound(now));
    if (gate.in_time.size() >= gate.limit.limit())
    {
        return std::nullopt;
    }
    gate.in_time.insert(soft_deadline);
    return gate_pass{service, now, soft_deadline, gate.in_time.size()};
}

gate_usage overload_gate::usage(const service_name& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end()
               ? gate_usage{}
               : gate_usage{found->second.in_time.size(),
                            found->second.limit.limit()};
}

void overload_gate::leave(const gate_pass& pass, instant now,
                          microseconds waited, microseconds objective)
{
    service_gate& gate = this->services[pass.service];
    const auto place = gate.in_time.find(pass.soft_deadline);
    if (place != gate.in_time.end())
    {
        gate.in_time.erase(place);
    }
    gate.limit.learn({waited, objective / wait_divisor, true, pass.in_progress,
                      now - pass.entered},
                     now.time_since_epoch());
}

} // namespace basilpath
