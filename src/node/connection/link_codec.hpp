/// Messages of the links between hosts as bytes.
#pragma once

#include "node/request/subquery.hpp"
#include "process/instant.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

[[nodiscard]] std::string encode_link_message(const link_message& message);

/// Nothing when the bytes are not a message of ours. A subquery has arrived
/// `now`.
[[nodiscard]] std::optional<link_message>
decode_link_message(std::string_view bytes, instant now);

} // namespace basilpath
