#include "node/process/node_identity.hpp"

#include <algorithm>

namespace basilpath
{

reader_role reader_role_of(const node_settings& settings)
{
    const bool seed = std::ranges::find(settings.seeds, settings.peers) !=
                      settings.seeds.end();
    if (seed)
    {
        return reader_role::seed;
    }
    return settings.first_start ? reader_role::first_start
                                : reader_role::restart;
}

member make_own_member(const node_settings& settings, std::uint64_t start)
{
    member own;
    own.address = settings.peers;
    own.start = incarnation(start);
    own.domain = settings.domain;
    own.callers = settings.callers;
    own.links = settings.links;
    own.processor_share = settings.processor_share;
    own.link_mbps = settings.link_mbps;
    return own;
}

} // namespace basilpath
