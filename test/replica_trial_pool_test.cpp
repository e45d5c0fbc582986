#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

// Returns the number of calls that a server has read, without health checks.
std::size_t calls_read(const raw_server& server)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(server.reads, [](const std::string& read)
                              { return read.starts_with("GET /x"); }));
}

std::size_t count_ends(const pool_fixture& node, call_end end)
{
    return static_cast<std::size_t>(
        std::ranges::count(node.results, end, &target_result::end));
}

const replica_health& health_of(const pool_fixture& node)
{
    return *node.pool.candidates(service_name("s")).front().health;
}

TEST_CASE("a replica whose answers break off gets none of the calls that wait "
          "for it, and one call at a time after a health check")
{
    bool mended = false;
    pool_fixture node(
        [&mended](const std::string& read, std::size_t)
        {
            const bool whole = mended || !read.starts_with("GET /x");
            return whole ? raw_action{answer("whole", "",
                                             "X-Instance-Id: i-1\r\n")}
                         : raw_action{"HTTP/1.1 200 OK\r\n", true, false};
        });
    for (int i = 0; i < 20; ++i)
    {
        node.start("first-" + std::to_string(i));
    }
    node.await_results(20);
    REQUIRE(node.results.size() == 20);
    CHECK(calls_read(node.server) < 10);
    CHECK(count_ends(node, call_end::unsent) > 10);
    CHECK(count_ends(node, call_end::answered) == 0);

    const auto on_trial = [&node]
    {
        return health_of(node).belief() == replica_belief::on_trial;
    };
    node.run(on_trial);
    REQUIRE(health_of(node).available());
    const auto trial = node.start("trial");
    CHECK(trial->trial);
    CHECK_FALSE(health_of(node).available());
    node.await_results(21);
    REQUIRE(node.results.size() == 21);
    CHECK(node.results.back().end == call_end::broken);
    CHECK(health_of(node).down());

    mended = true;
    node.run(on_trial);
    node.start("whole");
    node.await_results(22);
    REQUIRE(node.results.size() == 22);
    CHECK(node.results.back().end == call_end::answered);
    CHECK(health_of(node).belief() == replica_belief::up);
}

TEST_CASE("calls given up at their deadline while bytes arrive leave a replica")
{
    pool_fixture node(
        [](const std::string& read, std::size_t)
        {
            return read.starts_with("GET /x")
                       ? raw_action{"HTTP/1.1 200 OK\r\nX-Response-Signature: "
                                    "sig\r\nContent-Length: 9\r\n\r\nbody"}
                       : raw_action{
                             answer("whole", "", "X-Instance-Id: i-1\r\n")};
        });
    for (int i = 0; i < 3; ++i)
    {
        const auto call = node.start("late", false, 100ms);
        node.run([&call] { return call->on_wire; });
        node.pool.abandon(call, 1s);
    }
    node.run([&node] { return health_of(node).down(); });
    CHECK(health_of(node).down());
}

} // namespace
