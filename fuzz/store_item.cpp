/// Fuzz target: arbitrary bytes as an item of the platform's store. The first
/// byte selects a configuration or the entry of a replica.
#include "item_decoder.hpp"
#include "node/connection/endpoint.hpp"
#include "node/process/restored_items.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <variant>

namespace
{

using namespace basilpath;

bool sound(const replica& one)
{
    return one.slots > 0 && one.warmup.count() >= 0 && !one.id.value.empty() &&
           !one.service.value.empty() && to_endpoint(one.address.value);
}

bool sound(const route& one)
{
    double weights = 0;
    for (const split_part& part : one.parts)
    {
        if (!std::isfinite(part.weight) || part.weight < 0)
        {
            return false;
        }
        weights += part.weight;
    }
    return one.timeout.count() > 0 && one.objective.count() > 0 &&
           one.attempts > 0 && one.prefix.starts_with('/') &&
           one.prefix.ends_with('/') && one.gather.least.value >= 0 &&
           one.gather.least.value <= 1 && (one.gathers() || weights > 0);
}

// Returns whether a copy of the store with this registration is followed by a
// host that holds the same one, and not by one that saw it removed.
bool orders(const replica& one)
{
    constexpr milliseconds registration_timeout{3'600};
    return !one.registered_before(one) &&
           !restored_item_wait(one, known_replica{one, true},
                               registration_timeout) &&
           restored_item_wait(one, known_replica{one, false},
                              registration_timeout);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    if (size == 0)
    {
        return 0;
    }
    const char* const key = data[0] % 2 == 0 ? "op/config" : "servers/i-1";
    const std::string value(reinterpret_cast<const char*>(data) + 1, size - 1);
    const decoded_item item = platform::decode_item({key, value, 1});
    if (const auto* const one = std::get_if<replica>(&item);
        one && !(sound(*one) && orders(*one)))
    {
        std::abort();
    }
    if (const auto* const table =
            std::get_if<std::shared_ptr<const route_table>>(&item))
    {
        const caller_limits& limits = (*table)->limits();
        const bool bounded = limits.header_bytes > 0 && limits.body_bytes > 0 &&
                             limits.header_timeout.count() > 0 &&
                             limits.idle_timeout.count() > 0;
        for (const char* const path : {"/g/x", "/u/x", "/w/x", "/"})
        {
            const route* const found = (*table)->find("h", path);
            if (!bounded || (found && !sound(*found)))
            {
                std::abort();
            }
        }
    }
    return 0;
}
