/// Parsing of socket addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace basilpath
{

/// Parses `IP:PORT` with a numeric IPv4 address; null if `text` is anything
/// else.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(std::string_view text);

} // namespace basilpath
