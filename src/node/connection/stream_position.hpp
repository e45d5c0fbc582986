/// Position of a message in the bytes of a connection.
#pragma once

#include "version/strong.hpp"

#include <cstdint>

namespace basilpath
{

/// Number of bytes that were queued on the same connection before a message.
using stream_position = strong<std::uint64_t, struct stream_position_tag>;

} // namespace basilpath
