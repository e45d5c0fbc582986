/// Options and figures of connections.
#pragma once

#include "version/ids.hpp"

#include <boost/asio/ip/tcp.hpp>

namespace basilpath
{

/// Has small messages sent at once instead of after the acknowledgement of the
/// last.
void set_low_delay(boost::asio::ip::tcp::socket& socket);

/// Has the connection end when data stays unacknowledged for this long, so that
/// a peer that is gone or cut off is noticed.
void set_acknowledgement_limit(boost::asio::ip::tcp::socket& socket,
                               milliseconds limit);

/// The kernel's estimate of the round trip; zero when it has none.
[[nodiscard]] microseconds round_trip(boost::asio::ip::tcp::socket& socket);

} // namespace basilpath
