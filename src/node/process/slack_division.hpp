/// Divides the slack of the retry budget among the hosts.
#pragma once

#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstddef>
#include <map>
#include <set>

namespace basilpath
{

/// This host's share of the slack. Most of the slack is divided among the hosts
/// that serve callers, since only these repeat calls; the others have a small
/// share for callers with an outdated directory. Keeps the sum of all shares
/// below the slack while hosts restart, disagree on which hosts serve, or
/// cannot reach each other:
/// - A host that served recently counts, because it may have spent its share.
/// - A host that can reach less than half of the hosts that served counts all
/// of
///   them for longer, because the others may serve as well.
/// - The share of a process grows over one window from zero, because the
/// earlier
///   process at its address may have spent one.
class slack_division
{
public:
    /// `own` is the address at which this host serves callers.
    slack_division(http_address own, instant started);

    /// Updates the share. `live` is the number of hosts that are not dead or
    /// died a short time ago, `serving` are the hosts to which callers are
    /// directed, and `window` is the window of the budget.
    void update(std::size_t live, const std::set<http_address>& serving,
                microseconds window, instant now);

    /// Returns the share as a fraction of the slack.
    [[nodiscard]] double share() const
    {
        return this->current_share;
    }

    /// Returns the number of hosts among which the serving hosts' part of the
    /// slack is divided.
    [[nodiscard]] std::size_t counted_hosts() const
    {
        return this->counted;
    }

private:
    [[nodiscard]] std::size_t count_served_since(instant earliest) const;

    http_address own;
    instant started;

    /// When each host was last among those that serve.
    std::map<http_address, instant> last_served;
    std::size_t counted = 0;
    double current_share = 0;
};

} // namespace basilpath
