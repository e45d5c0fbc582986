/// Numeric addresses.
#pragma once

#include <string_view>

namespace basilpath
{

/// Tells whether a text is `IP:PORT` with a numeric IPv4 or bracketed IPv6
/// address and a port of 1 to 65535 (0 too where `any_port`).
[[nodiscard]] bool is_address(std::string_view text, bool any_port = false);

} // namespace basilpath
