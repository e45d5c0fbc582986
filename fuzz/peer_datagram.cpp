/// Fuzz target: arbitrary bytes as a datagram between hosts.
#include "node/connection/peer_datagram.hpp"

#include <algorithm>
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

bool same(const item_update& one, const item_update& other)
{
    return one.after == other.after && one.position() == other.position() &&
           std::ranges::equal(
               one.changes, other.changes,
               [](const item_change& left, const item_change& right)
               {
                   return left.key == right.key && left.value == right.value &&
                          left.revision == right.revision;
               });
}

// Returns whether an update is the same after it was sent on.
bool survives(const item_update& update)
{
    const auto read = decode_update(encode_update(update));
    packed_values packed;
    const auto unpacked = decode_update(encode_update(update, packed));
    return read && same(update, *read) && unpacked && same(update, *unpacked);
}

// Returns whether a datagram names the same positions after it was sent on.
bool survives(const peer_datagram& datagram, instant now)
{
    const auto read = decode_datagram(encode_datagram(datagram, now), now);
    return read && read->position == datagram.position &&
           (!datagram.update ||
            (read->update && same(*datagram.update, *read->update)));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    if (const auto update = decode_update(bytes); update && !survives(*update))
    {
        std::abort();
    }
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
    if (!good || !survives(*datagram, now))
    {
        std::abort();
    }
    return 0;
}
