/// Which hosts are held for dead, and how two hosts agree about it.
#pragma once

#include "connection/wire.pb.h"
#include "version/ids.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace basilpath
{

/// What one member is said to be. Of two descriptions of a member the one with
/// the larger counter holds, then the dead one, then the one with the larger
/// incarnation, so that the order of arrival does not matter.
struct member_entry
{
    std::uint64_t counter = 0;
    bool dead = false;
    incarnation start;

    auto operator<=>(const member_entry&) const = default;
};

/// What came of hearing a description.
enum class merge_outcome : std::uint8_t
{
    news,   ///< it holds from now on
    same,   ///< it was held already
    older,  ///< the teller knows less than is held here
    unknown ///< the host list does not name the member
};

/// The table of the members that the host list names. A member that nothing is
/// known of is live with counter zero. Soft state: forgotten with the process.
class membership
{
public:
    static constexpr std::size_t bucket_count = 32;
    using bucket_digests = std::array<std::uint64_t, bucket_count>;

    membership(host_id own, incarnation start);

    /// Takes the members that the host list names; others are forgotten.
    void set_members(const std::set<host_id>& members);

    /// Takes a description. Told that this host is dead, or of an earlier
    /// incarnation of it, the own counter is raised above what was told.
    merge_outcome merge(const wire::Member& told);

    /// Declares a member dead by this host's own finding. False when it is
    /// not a live member.
    bool declare_dead(const host_id& id);

    [[nodiscard]] bool is_dead(const host_id& id) const;

    [[nodiscard]] const std::set<host_id>& dead() const;

    /// The description of one member.
    [[nodiscard]] wire::Member describe(const host_id& id) const;

    /// One digest per bucket over all descriptions that are not the default.
    [[nodiscard]] const bucket_digests& digests() const;

    /// Descriptions that are not the default, of one bucket.
    [[nodiscard]] std::vector<wire::Member> bucket(std::size_t index) const;

    [[nodiscard]] const host_id& own() const;

private:
    void store(const host_id& id, const member_entry& entry);
    merge_outcome refute(const member_entry& told);

    host_id own_id;
    std::map<host_id, member_entry> entries;
    std::set<host_id> dead_ids;
    bucket_digests bucket_values{};
};

} // namespace basilpath
