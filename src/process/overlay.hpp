/// Which few hosts an agent talks to, and whose turn it is to watch the
/// platform. Both are functions of the host list and of who is dead.
#pragma once

#include "version/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace basilpath
{

struct host;
struct host_list;

/// A host that this one talks to.
struct neighbour
{
    host_id id;
    peer_address agent;

    /// Whether this host asks it for signs of life.
    bool observed = false;

    bool operator==(const neighbour&) const = default;
};

/// All hosts stand on a few rings, each ordered by another hash of their ids.
/// A host observes its successor on each ring and is observed by its
/// predecessors, so that the number of neighbours does not grow with the fleet
/// and the graph of all hosts has a small diameter.
class overlay
{
public:
    static constexpr std::size_t ring_count = 6;

    /// Hosts of one failure domain that watch the platform at a time.
    static constexpr std::size_t watcher_count = 2;

    explicit overlay(host_id own);

    /// Takes a host list; null for none.
    void set_hosts(std::shared_ptr<const host_list> hosts);

    /// The neighbours among the hosts that are not dead, sorted by id.
    [[nodiscard]] std::vector<neighbour>
    neighbours(const std::set<host_id>& dead) const;

    /// Tells whether this host is among the first of its failure domain that
    /// are neither dead nor leaving.
    [[nodiscard]] bool is_watcher(const std::set<host_id>& dead,
                                  const std::set<host_id>& leaving) const;

    /// The host with this id, or null.
    [[nodiscard]] const host* find(const host_id& id) const;

    [[nodiscard]] std::shared_ptr<const host_list> hosts() const;

private:
    using ring_places = std::array<std::uint64_t, ring_count>;

    host_id own;
    ring_places own_places;
    std::shared_ptr<const host_list> list;
    std::vector<ring_places> places;
    std::map<host_id, std::size_t> index;
};

} // namespace basilpath
