/// The datagrams that hosts exchange to maintain membership.
#pragma once

#include "node/connection/packed_values.hpp"
#include "node/process/crash_detector.hpp"
#include "node/process/member.hpp"
#include "node/process/named_limits.hpp"
#include "node/version/item_cache.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

enum class datagram_kind : std::uint8_t
{
    probe, ///< requests an answer
    ack,   ///< answers a probe
    gossip ///< requires no answer
};

/// One datagram: the sender's own membership record, the state of its view of
/// the store, and membership updates about other hosts.
struct peer_datagram
{
    datagram_kind kind = datagram_kind::gossip;
    member from;
    store_position position;

    /// Time since the store confirmed the sender's view; null when it never
    /// has.
    std::optional<milliseconds> age;

    std::vector<member> gossip;

    /// Replicas that crashed while running a request. The wire carries ages
    /// instead of times, so that clocks need not be synchronised.
    std::vector<suspected_crash> suspected_crashes;

    /// Limits that replicas name, with ages on the wire as well.
    std::vector<named_limit> limits;

    /// Requests that are in quarantine, with the time that is left.
    std::vector<quarantine> quarantines;

    /// Changes up to `position`; null when there are too many.
    std::optional<item_update> update;
};

/// Size limit in bytes; a larger datagram would be fragmented on the way.
inline constexpr std::size_t datagram_limit = 1'400;

[[nodiscard]] std::string encode_datagram(const peer_datagram& datagram,
                                          instant now);

/// Returns null when `bytes` is not a valid datagram.
[[nodiscard]] std::optional<peer_datagram>
decode_datagram(std::string_view bytes, instant now);

/// Encodes changes of a view as the body of a message between hosts.
[[nodiscard]] std::string encode_update(const item_update& update);

/// As above, with long values packed. Hosts of earlier releases cannot read it.
[[nodiscard]] std::string encode_update(const item_update& update,
                                        packed_values& packed);

[[nodiscard]] std::optional<item_update> decode_update(std::string_view bytes);

/// As above, and keeps the values that were packed in that form.
[[nodiscard]] std::optional<item_update> decode_update(std::string_view bytes,
                                                       packed_values& packed);

} // namespace basilpath
