/// A point in the history of the platform's store.
#pragma once

#include "version/strong.hpp"

#include <compare>
#include <cstdint>

namespace basilpath
{

/// Raised by one each time the store comes back from a copy of itself. Zero for
/// stores that have no eras.
using store_era = strong<std::uint64_t, struct store_era_tag>;

/// Revision number of the store within an era; larger is newer.
using store_revision = std::uint64_t;

/// Ordered by era first, since a restored store assigns revisions again.
struct store_position
{
    store_era era;
    store_revision revision = 0;

    auto operator<=>(const store_position&) const = default;
};

} // namespace basilpath
