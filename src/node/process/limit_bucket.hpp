/// Paces the requests of this host to a replica on whose requests a limit is in
/// force.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>

namespace basilpath
{

/// A token bucket; each request takes one token. It starts empty, since a
/// replica names a limit, or is cold, when it gets more requests than it bears.
class limit_bucket
{
public:
    /// Sets the rate at which tokens arrive and the number that the bucket
    /// holds. A depth below one admits no request.
    void set(request_rate new_rate, double new_depth, instant now);

    /// Takes a token; false when there is none.
    [[nodiscard]] bool try_take(instant now);

    /// Returns whether requests are admitted at all.
    [[nodiscard]] bool open() const;

    /// Returns how long a request waits for its token behind `queued` others;
    /// the longest time when the bucket is not open.
    [[nodiscard]] microseconds wait(std::size_t queued, instant now) const;

private:
    [[nodiscard]] double tokens_at(instant now) const;

    request_rate rate;
    double depth = 0;
    double tokens = 0;
    instant counted_at{};
};

} // namespace basilpath
