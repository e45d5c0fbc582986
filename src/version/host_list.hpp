/// The platform's list of live and leaving hosts, which lags.
#pragma once

#include "version/host.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// One revision of the host list. INI: section `[hosts]` with `revision`, one
/// section `[host ID]` for each host with keys `region`, `domain`, `callers`,
/// `entry`, `relay`, `agent` and `state` (`live` or `leaving`).
struct host_list
{
    std::uint64_t revision = 0;

    /// Sorted by id.
    std::vector<host> hosts;
};

/// Parses a host list; null with a reason in `*reason` on any fault.
[[nodiscard]] std::shared_ptr<const host_list>
parse_host_list(std::string_view bytes, std::string* reason);

} // namespace basilpath
