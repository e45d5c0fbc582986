/// From which hosts a later view is fetched.
#include "node/process/view_offers.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <set>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

const peer_address first("10.0.0.1:1");
const peer_address second("10.0.0.2:1");
const instant now(10s);

store_position at(store_revision revision)
{
    return {store_era(1), revision};
}

// Guards against a host that passes over the offers that arrive while it
// fetches from a peer that is lost.
TEST_CASE("an offer that arrives during a fetch is used after it")
{
    view_offers offers;
    offers.note(first, at(7), now);
    const auto taken = offers.take(now, 0);
    REQUIRE(taken);
    CHECK(taken->from == first);
    CHECK(taken->position == at(7));
    offers.note(second, at(7), now);
    // The first one was busy.
    offers.defer(first, at(7), now + 1s);
    CHECK(offers.next_time(at(6)) == now);
    CHECK(offers.take(now, 0)->from == second);
    CHECK(offers.next_time(at(6)) == now + 1s);
    CHECK_FALSE(offers.take(now, 0));
}

TEST_CASE("offers of views that are held are dropped")
{
    view_offers offers;
    offers.note(first, at(7), now);
    offers.note(second, at(9), now + 100ms);
    CHECK(offers.next_time(at(7)) == now + 100ms);
    CHECK_FALSE(offers.next_time(at(9)));
    CHECK_FALSE(offers.take(now + 1s, 0));
}

TEST_CASE("a busy host that offers its view again is not asked sooner")
{
    view_offers offers;
    offers.defer(first, at(7), now + 200ms);
    offers.note(first, at(8), now);
    CHECK(offers.next_time(at(7)) == now + 200ms);
    CHECK(offers.take(now + 200ms, 0)->position == at(8));
}

TEST_CASE("hosts spread over those that offer the same view")
{
    std::set<peer_address> chosen;
    for (std::uint64_t random = 0; random < 4; ++random)
    {
        view_offers offers;
        offers.note(first, at(7), now);
        offers.note(second, at(7), now);
        chosen.insert(offers.take(now, random)->from);
    }
    CHECK(chosen == std::set<peer_address>{first, second});
}

} // namespace
