/// A call without a whole answer.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

namespace basilpath
{

/// A call that was sent to a replica and ended without a whole answer.
struct broken_call
{
    leaf_id replica;
    instant at{};
};

} // namespace basilpath
