/// Encoding of the messages on links between hosts.
#pragma once

#include "node/request/subquery.hpp"
#include "process/instant.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

[[nodiscard]] std::string encode_link_message(const link_message& message);

/// Returns null when `bytes` is not a valid link message. `now` becomes the
/// arrival time of a subquery.
[[nodiscard]] std::optional<link_message>
decode_link_message(std::string_view bytes, instant now);

} // namespace basilpath
