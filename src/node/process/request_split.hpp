/// Distribution of a route's requests among the parts of its split.
#pragma once

#include "node/version/route.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <span>

namespace basilpath
{

/// Gives each part its share of any run of requests by an additive recurrence
/// with the golden ratio. What was sent under earlier weights does not matter,
/// and hosts that start at different points do not all favour the same part.
class request_split
{
public:
    /// Starts at a point given by a random number.
    explicit request_split(std::uint64_t random);

    /// Returns the service of the next request; there is at least one part.
    /// Parts whose weights are all zero receive equal shares.
    [[nodiscard]] const service_name& next(std::span<const split_part> parts);

private:
    /// From 0 to below 1.
    double position;
};

} // namespace basilpath
