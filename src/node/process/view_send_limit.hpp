/// A bound on the views that a host sends to others at the same time.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <optional>

namespace basilpath
{

/// Sends views one after the other: parallel transfers would all end late, and
/// the first host that has received a change can pass it on. Answers the load
/// of many hosts that fetch a large change from the few that have it.
class view_send_limit
{
public:
    explicit view_send_limit(double link_mbps);

    /// Reserves the link for a view of `bytes`. Returns how long to wait until
    /// it is sent; null if that is too long, and another host may have it
    /// sooner.
    [[nodiscard]] std::optional<microseconds> reserve(std::size_t bytes,
                                                      instant now);

private:
    double bytes_per_second;

    /// When the link has sent all views for which it is reserved.
    instant free_at{};
};

} // namespace basilpath
