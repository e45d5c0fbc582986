/// How many views a host sends to others at the same time.
#include "node/process/view_send_limit.hpp"

#include <catch2/catch.hpp>

#include <chrono>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

// A link of 8 Mbit/s sends a megabyte in a second.
constexpr double link_mbps = 8;
constexpr std::size_t tenth_of_second = 100'000;

TEST_CASE("views are sent one after the other")
{
    view_send_limit limit(link_mbps);
    const instant now(10s);
    CHECK(limit.reserve(tenth_of_second, now) == 0us);
    CHECK(limit.reserve(tenth_of_second, now) == 50ms);
    CHECK(limit.reserve(tenth_of_second, now) == 150ms);
    CHECK(limit.reserve(tenth_of_second, now + 300ms) == 0us);
}

// Guards against transfers that all end late because they share one link.
TEST_CASE("a host with a long queue of views takes no more")
{
    view_send_limit limit(link_mbps);
    const instant now(10s);
    CHECK(limit.reserve(9 * tenth_of_second, now));
    CHECK_FALSE(limit.reserve(tenth_of_second, now));
    // What was refused reserves nothing.
    CHECK_FALSE(limit.reserve(tenth_of_second, now + 450ms));
    CHECK(limit.reserve(tenth_of_second, now + 500ms) == 350ms);
}

TEST_CASE("a small view does not wait for large ones")
{
    view_send_limit limit(link_mbps);
    const instant now(10s);
    CHECK(limit.reserve(9 * tenth_of_second, now));
    CHECK(limit.reserve(1'000, now) == 0us);
}

TEST_CASE("a fast link sends many views at once")
{
    view_send_limit limit(1'000);
    const instant now(10s);
    for (int i = 0; i < 50; ++i)
    {
        CHECK(limit.reserve(tenth_of_second, now) == 0us);
    }
}

TEST_CASE("a link without a stated bandwidth sends views")
{
    view_send_limit limit(0);
    CHECK(limit.reserve(tenth_of_second, instant(10s)) == 0us);
}

} // namespace
