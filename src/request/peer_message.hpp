/// A message from another process of the system.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

namespace basilpath
{

/// What came and from which process.
struct peer_message
{
    peer_address from;
    incarnation sender;
    wire::Envelope message;
};

} // namespace basilpath
