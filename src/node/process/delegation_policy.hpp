/// Whether parts of a query are asked for through a host of another failure
/// domain.
#pragma once

#include <cstddef>

namespace basilpath
{

/// What is known of the parts that are wanted from one failure domain.
struct delegation_inputs
{
    std::size_t shards = 0;

    /// Most records of the answer.
    std::size_t most_records = 0;

    /// Bytes of a part of this route, as they have been lately.
    double part_bytes = 0;

    /// Bytes of the caller's request.
    double request_bytes = 0;

    /// Parts that are in, whose records bound what is still wanted; zero when
    /// they do not.
    std::size_t bounding_parts = 0;
};

/// Tells whether asking a host there takes fewer bytes between domains than
/// asking each replica. Answers the load in which a host has no replica of many
/// shards in its own domain, so that most of the bytes of a query are records
/// of which few are answered.
[[nodiscard]] bool delegation_saves_bytes(const delegation_inputs& query);

} // namespace basilpath
