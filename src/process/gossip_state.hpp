/// What one agent knows and tells other agents.
#pragma once

#include "connection/wire.pb.h"
#include "process/membership.hpp"
#include "process/overlay.hpp"
#include "process/soft_state.hpp"
#include "version/value_store.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilpath
{

/// Counters of one agent.
struct gossip_counters
{
    std::uint64_t digests_sent = 0;
    std::uint64_t digests_received = 0;
    std::uint64_t sections_received = 0;
    std::uint64_t section_bytes_received = 0;
    std::uint64_t values_accepted = 0;
    std::uint64_t values_lower = 0;
    std::uint64_t values_refused = 0;
    std::uint64_t declared_dead = 0;
    std::uint64_t own_pauses = 0;
};

/// Values, members and soft state of one agent with the news among them.
/// Shared by the sessions of the agent, on one thread.
class gossip_state
{
public:
    gossip_state(host_id own, incarnation start);

    /// A digest of the values and of the own member entry.
    [[nodiscard]] wire::Digest digest() const;

    /// Takes the descriptions of members in a digest told by `from`. Returns
    /// the hosts of which the teller knows less than this agent.
    std::vector<host_id> merge_members(const wire::Digest& told,
                                       const host_id& from);

    /// Declares a host dead and makes that news.
    bool declare_dead(const host_id& id);

    /// Adds the news since `position` to a digest for `to`, at most
    /// `news_limit`, and moves `position` past what was added.
    void add_news(wire::Digest& message, std::uint64_t& position,
                  const host_id& to) const;

    /// Position just past the latest news.
    [[nodiscard]] std::uint64_t news_end() const;

    /// Adds the own table's bucket digests.
    void add_buckets(wire::Digest& message) const;

    /// Adds the members of the first buckets that differ from those told.
    void add_differences(wire::Digest& message, const wire::Digest& told) const;

    /// Takes the host list in force, after it has changed.
    void refresh_hosts();

    /// Hosts that are leaving by mark or by host list.
    [[nodiscard]] bool is_watcher() const;

    value_store values;
    membership members;
    overlay ring;
    soft_state soft;
    gossip_counters counters;

    /// Whether other hosts were asked since this process started.
    bool ready = false;

    /// Whether the neighbours have to be worked out again.
    bool ring_changed = false;

    static constexpr std::size_t news_limit = 40;

private:
    /// A member whose description changed, and who told it.
    struct news_item
    {
        host_id member;
        host_id from;
    };

    void note_news(const host_id& member, const host_id& from);

    std::deque<news_item> news;
    std::uint64_t news_begin = 0;
    std::uint64_t hosts_digest = 0;
};

} // namespace basilpath
