/// TCP socket options and statistics.
#pragma once

#include "version/ids.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace basilpath
{

/// Disables Nagle's algorithm, so that small messages are sent at once.
void set_no_delay(boost::asio::ip::tcp::socket& socket);

/// Sets TCP_USER_TIMEOUT: the connection fails when data stays unacknowledged
/// for `limit`, so that a crashed or unreachable peer is detected.
void set_user_timeout(boost::asio::ip::tcp::socket& socket, milliseconds limit);

/// Returns the kernel's smoothed round-trip time; zero when it has none.
[[nodiscard]] microseconds round_trip(boost::asio::ip::tcp::socket& socket);

/// Returns the port of this end; zero when the socket is not connected.
[[nodiscard]] std::uint16_t
local_port(const boost::asio::ip::tcp::socket& socket);

/// Returns the number of bytes that were written and that the peer has not
/// acknowledged; nothing when the kernel does not report it.
[[nodiscard]] std::optional<std::size_t>
unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

} // namespace basilpath
