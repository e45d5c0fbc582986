/// Whether a pool notices that a replica has crashed.
#include "stepwise_server.hpp"
#include "target_pool_fixture.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

/// A pool with a replica i-2 to which two connections are open.
struct connected_fixture : pool_fixture
{
    connected_fixture()
        : pool_fixture([](const std::string&, std::size_t)
                       { return raw_action{}; })
    {
        this->pool.on_connect_failed(
            [this](const leaf_id& replica, instant)
            { this->refused.push_back(replica.value); });
        this->add_replica("i-2", this->replica->address());
        for (const std::string id : {"one", "two"})
        {
            this->send(id);
            this->open.push_back(this->replica->accept());
            stepwise_server::read_head(this->open.back());
        }
        for (auto& connection : this->open)
        {
            stepwise_server::send(connection, answer("x"));
        }
        this->await_results(2);
    }

    void send(const std::string& id)
    {
        const auto call = this->start(id, false, 10s, "i-2");
        this->run([&call] { return call->on_wire; });
    }

    std::optional<stepwise_server> replica{std::in_place};
    std::vector<stepwise_server::connection> open;

    /// Replicas to which a connection was refused.
    std::vector<std::string> refused;
};

// Guards against a request that crashes replicas and is never quarantined: the
// connection that carried it closed first, and no crash was noted while another
// one to the replica was still open.
TEST_CASE("a crash is noticed when the host has several connections")
{
    connected_fixture node;
    node.send("poison");
    stepwise_server::read_head(node.open.front());
    node.replica.reset();
    for (auto& connection : node.open)
    {
        connection.close();
        node.context.run_for(5ms);
    }
    node.run([&node] { return !node.refused.empty(); });
    REQUIRE(node.refused == std::vector<std::string>{"i-2"});
    REQUIRE(node.results.size() == 3);
    CHECK(node.results[2].end == call_end::broken);
}

// An idle connection ends for many reasons, long after a call broke.
TEST_CASE("a connection that ends later leads to no check of the replica")
{
    connected_fixture node;
    node.send("poison");
    stepwise_server::read_head(node.open.front());
    node.open.front().close();
    node.context.run_for(std::chrono::microseconds(crash_window) + 100ms);
    node.open.back().close();
    node.context.run_for(100ms);
    CHECK_FALSE(node.replica->try_accept());
    CHECK(node.refused.empty());
}

} // namespace
