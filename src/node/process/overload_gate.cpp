#include "node/process/overload_gate.hpp"

namespace basilpath
{

namespace
{

// A request may wait for this part of its objective; the rest is for the
// replicas to work and for some of them to be slow.
constexpr std::int64_t wait_divisor = 3;

// Requests under way that are let in while waits are short, however few there
// were lately. More than where requests can wait at the gate: here they are
// refused.
constexpr double least_room = 8.0;

} // namespace

overload_gate::service_gate::service_gate() : limit(least_room) {}

std::optional<gate_pass> overload_gate::enter(const service_name& service,
                                              instant now, instant useful_until)
{
    service_gate& gate = this->services[service];
    gate.in_time.erase(gate.in_time.begin(), gate.in_time.upper_bound(now));
    if (gate.in_time.size() >= gate.limit.limit())
    {
        return std::nullopt;
    }
    gate.in_time.insert(useful_until);
    return gate_pass{service, now, useful_until, gate.in_time.size()};
}

void overload_gate::leave(const gate_pass& pass, instant now,
                          microseconds waited, microseconds objective)
{
    service_gate& gate = this->services[pass.service];
    const auto place = gate.in_time.find(pass.useful_until);
    if (place != gate.in_time.end())
    {
        gate.in_time.erase(place);
    }
    gate.limit.learn({waited, objective / wait_divisor, true, pass.in_progress,
                      now - pass.entered},
                     now.time_since_epoch());
}

} // namespace basilpath
