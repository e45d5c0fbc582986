/// A leaf: one target process that holds shards of one service.
#pragma once

#include "version/ids.hpp"

#include <cstdint>

namespace basilpath
{

/// One line of a `[leaves GROUP]` section of a document. Where the leaf listens
/// and whether it is leaving is published apart from the document, see
/// `target_list`.
struct leaf
{
    leaf_id id;
    failure_domain domain;

    /// Requests the leaf runs at the same time.
    std::uint32_t slots = 1;

    /// Connections the leaf accepts, over all hosts together.
    std::uint32_t connections = 1;

    /// Time that setting up one connection takes.
    microseconds connect_time{1000};
};

} // namespace basilpath
