/// The decoded form of an item of the platform's store.
#pragma once

#include "node/version/replica.hpp"
#include "node/version/route_table.hpp"

#include <memory>
#include <string>
#include <variant>

namespace basilpath
{

/// An item that this system does not use.
struct foreign_item
{
};

/// A malformed item with the reason for its rejection.
struct unusable_item
{
    std::string reason;
};

/// The removal of a replica's entry.
struct replica_removed
{
    leaf_id id;
};

/// The operator asks that nothing be sent to the replicas of a failure domain,
/// or takes that back.
struct domain_evacuation
{
    failure_domain domain;
    bool in_force = false;
};

using decoded_item = std::variant<foreign_item, unusable_item,
                                  std::shared_ptr<const route_table>, replica,
                                  replica_removed, domain_evacuation>;

} // namespace basilpath
