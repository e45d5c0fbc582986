#include "node/process/gathering_hosts.hpp"

namespace basilpath
{

gathering_hosts choose_gathering_hosts(std::span<const member> live,
                                       const std::set<http_address>& serving,
                                       const failure_domain& own,
                                       const evacuated_domains& evacuated)
{
    gathering_hosts result;
    std::size_t local = 0;
    bool all_linked = true;
    for (const member& one : live)
    {
        const bool serves = one.ready && one.state == member_state::alive &&
                            serving.contains(one.callers);
        if (!serves)
        {
            continue;
        }
        const bool linked = !one.links.value.empty();
        all_linked = all_linked && linked;
        if (one.domain == own)
        {
            ++local;
        }
        else if (linked && !evacuated.contains(one.domain))
        {
            result.delegates.push_back({one.links, one.domain});
        }
    }
    result.local_host_count = all_linked ? local : serving.size();
    return result;
}

} // namespace basilpath
