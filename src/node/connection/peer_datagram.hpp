/// What hosts send each other in datagrams.
#pragma once

#include "node/process/crash_detector.hpp"
#include "node/process/member.hpp"
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
    probe, ///< asks for an answer
    ack,   ///< answers a probe
    gossip ///< wants no answer
};

/// One datagram. It carries the sender's description of itself, where its view
/// of the store stands, and news of others.
struct peer_datagram
{
    datagram_kind kind = datagram_kind::gossip;
    member from;
    store_revision revision = 0;

    /// How long ago the store confirmed the sender's view; nothing when never.
    std::optional<milliseconds> age;

    std::vector<member> gossip;

    /// Replicas that went down while they ran a request. Times are ages on the
    /// wire, so that clocks need not agree.
    std::vector<suspected_crash> suspected_crashes;

    /// Changes up to `revision`, when they are few.
    std::optional<item_update> update;
};

/// Largest datagram; more would be split on the way.
inline constexpr std::size_t datagram_limit = 1'400;

[[nodiscard]] std::string encode_datagram(const peer_datagram& datagram,
                                          instant now);

/// Nothing when the bytes are not a datagram of ours.
[[nodiscard]] std::optional<peer_datagram>
decode_datagram(std::string_view bytes, instant now);

/// Changes of a view as the body of a message between hosts.
[[nodiscard]] std::string encode_update(const item_update& update);

[[nodiscard]] std::optional<item_update> decode_update(std::string_view bytes);

} // namespace basilpath
