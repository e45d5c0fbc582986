/// Fuzz target: arbitrary bytes as a datagram between hosts.
#include "node/connection/peer_datagram.hpp"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace
{

using namespace basilpath;

bool sound(const member& one)
{
    return one.state <= member_state::dead &&
           std::isfinite(one.processor_share) && one.processor_share >= 0 &&
           std::isfinite(one.link_mbps) && one.link_mbps >= 0;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    static_cast<void>(decode_update(bytes));
    const instant now = instant(std::chrono::hours(1));
    const auto datagram = decode_datagram(bytes, now);
    if (!datagram)
    {
        return 0;
    }
    bool good = sound(datagram->from) &&
                datagram->kind <= datagram_kind::gossip &&
                (!datagram->age || datagram->age->count() >= 0);
    for (const member& one : datagram->gossip)
    {
        good = good && sound(one);
    }
    // A time in the future would keep a suspected crash for too long.
    for (const suspected_crash& one : datagram->suspected_crashes)
    {
        good = good && one.at <= now;
    }
    for (const quarantine& one : datagram->quarantines)
    {
        good = good && one.remaining.count() >= 0;
    }
    if (!good || !decode_datagram(encode_datagram(*datagram, now), now))
    {
        std::abort();
    }
    return 0;
}
