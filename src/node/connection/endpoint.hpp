/// Addresses given as text.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace basilpath
{

/// Reads `IP:PORT`, with the IP as numbers; nothing when it is not that.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint>
to_endpoint(std::string_view text);

} // namespace basilpath
