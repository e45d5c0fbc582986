/// What an item of the platform's store means.
#pragma once

#include "node/version/replica.hpp"
#include "node/version/route_table.hpp"

#include <memory>
#include <string>
#include <variant>

namespace basilpath
{

/// An item that is of no concern here.
struct foreign_item
{
};

/// An item that cannot be used, and why.
struct unusable_item
{
    std::string reason;
};

/// A replica whose entry is gone.
struct replica_removed
{
    leaf_id id;
};

using decoded_item =
    std::variant<foreign_item, unusable_item,
                 std::shared_ptr<const route_table>, replica, replica_removed>;

} // namespace basilpath
