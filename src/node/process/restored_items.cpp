#include "node/process/restored_items.hpp"

#include <chrono>
#include <type_traits>
#include <variant>

namespace basilpath
{

using namespace std::chrono_literals;

namespace
{

// Replicas that are alive register again within about this time after the
// store's return.
constexpr milliseconds registration_time = 2s;

// Added to the time after which the store removes silent replicas, as hosts
// learn of it a little later.
constexpr milliseconds registration_margin = 1s;

// The operator writes an evacuation again within this time. Until then its
// replicas are spared, which costs less than a request to one of them.
constexpr milliseconds evacuation_time = 10s;

} // namespace

std::optional<milliseconds>
restored_item_wait(const decoded_item& item,
                   const std::optional<known_replica>& known,
                   milliseconds registration_timeout)
{
    if (const auto* const removed = std::get_if<replica_removed>(&item))
    {
        return known && known->listed ? std::optional(registration_time)
                                      : std::nullopt;
    }
    if (const auto* const listed = std::get_if<replica>(&item))
    {
        // An entry like that of a replica which has since been removed is old.
        const bool outdated =
            known &&
            (listed->registered_before(known->last) ||
             (!known->listed && !known->last.registered_before(*listed)));
        return outdated
                   ? std::optional(registration_timeout + registration_margin)
                   : std::nullopt;
    }
    const auto* const evacuation = std::get_if<domain_evacuation>(&item);
    return evacuation && !evacuation->in_force ? std::optional(evacuation_time)
                                               : std::nullopt;
}

std::optional<leaf_id> replica_of(const decoded_item& item)
{
    if (const auto* const removed = std::get_if<replica_removed>(&item))
    {
        return removed->id;
    }
    const auto* const listed = std::get_if<replica>(&item);
    return listed ? std::optional(listed->id) : std::nullopt;
}

} // namespace basilpath
