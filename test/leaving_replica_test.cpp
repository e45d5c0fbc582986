/// Calls that wait for a replica which leaves.
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

constexpr std::size_t calls = 12;
constexpr auto grace = 2'000ms;

/// A pool whose replica i-1 never answers: some calls are in progress there,
/// the others wait for it on this host.
struct busy_fixture : pool_fixture
{
    busy_fixture()
        : pool_fixture([](const std::string&, std::size_t)
                       { return raw_action{}; })
    {
        for (std::size_t i = 0; i < calls; ++i)
        {
            this->start(std::to_string(i), i % 2 == 0, 10s);
        }
        this->run([this] { return this->server.reads.size() >= this->slots; });
        this->settle();
        this->sent = this->server.reads.size();
    }

    /// Lets some rounds of the pool's periodic tasks pass.
    void settle()
    {
        this->context.run_for(100ms);
    }

    [[nodiscard]] bool all_unsent() const
    {
        return std::ranges::all_of(this->results, [](const target_result& one)
                                   { return one.end == call_end::unsent; });
    }

    const std::size_t slots = 4;
    std::size_t sent = 0;
};

// Guards against calls that are sent to a replica long after it began to
// drain, and are lost as it exits.
TEST_CASE("calls that wait for a replica return when it begins to leave")
{
    busy_fixture node;
    REQUIRE(node.sent < calls);
    replica leaving = busy_fixture::describe("i-1", node.server.address());
    leaving.leaving = true;
    node.pool.set_replica(leaving);
    node.settle();
    CHECK(node.results.size() == calls - node.sent);
    CHECK(node.all_unsent());
    CHECK(node.server.reads.size() == node.sent);
}

// Guards against the same with a replica that leaves without notice: its entry
// is removed while it still serves for a while.
TEST_CASE("calls that wait for a delisted replica return when there is another "
          "one")
{
    busy_fixture node;
    const bool another = GENERATE(false, true);
    if (another)
    {
        node.add_replica("i-2", node.server);
    }
    node.pool.drop_replica(leaf_id("i-1"), grace);
    node.settle();
    CHECK(node.results.size() == (another ? calls - node.sent : 0));
    CHECK(node.all_unsent());
}

} // namespace
