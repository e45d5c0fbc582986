/// The hosts from which a later view of the store can be fetched.
#pragma once

#include "node/version/store_position.hpp"
#include "process/instant.hpp"
#include "version/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace basilpath
{

/// Keeps the offers that arrive while this host fetches from one peer, so that
/// it turns to another at once when that one is lost or busy.
class view_offers
{
public:
    struct taken_offer
    {
        peer_address from;
        store_position position;
    };

    /// Records that a host has a view. The offer can be used from `usable_at`
    /// on, or when an earlier one of that host can.
    void note(const peer_address& from, store_position offered,
              instant usable_at);

    /// Records that a host has a view, but cannot send it until `until`.
    void defer(const peer_address& from, store_position offered, instant until);

    /// Returns when the first offer of a view later than `held` can be used;
    /// null if there is none. Drops the offers that are of no use.
    [[nodiscard]] std::optional<instant> next_time(store_position held);

    /// Takes one of the offers that can be used now, at random, so that the
    /// hosts that wait for the same change spread over those that have it.
    [[nodiscard]] std::optional<taken_offer> take(instant now,
                                                  std::uint64_t random);

private:
    struct offer
    {
        store_position position;
        instant usable_at;
    };

    std::map<peer_address, offer> offers;
};

} // namespace basilpath
