/// Decides whether parts of a query are requested through a host of another
/// failure domain.
#pragma once

#include <cstddef>

namespace basilpath
{

/// Sizes of the parts that are wanted from one failure domain.
struct delegation_inputs
{
    std::size_t shards = 0;

    /// Largest number of records in the answer.
    std::size_t most_records = 0;

    /// Recent size of a part of this route, in bytes.
    double part_bytes = 0;

    /// Size of the caller's request, in bytes.
    double request_bytes = 0;

    /// Number of received parts whose records limit which further records are
    /// wanted; zero if there is no such limit.
    std::size_t bounding_parts = 0;
};

/// Returns whether a subquery to a host there takes fewer bytes between domains
/// than a call to each replica. Needed when a host's own domain has no replica
/// of many shards, so that most bytes of a query are records of which few end
/// up in the answer.
[[nodiscard]] bool delegation_saves_bytes(const delegation_inputs& query);

} // namespace basilpath
