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
        this->pool.on_abandoned_call_broken(
            [this](const target_call& call, instant)
            { this->broken.push_back(call.query->id.value); });
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

    std::shared_ptr<target_call> send(const std::string& id)
    {
        auto call = this->start(id, false, 10s, "i-2");
        this->run([&call] { return call->on_wire; });
        return call;
    }

    // The process of the replica ends.
    void crash()
    {
        this->replica.reset();
        for (auto& connection : this->open)
        {
            connection.close();
            this->context.run_for(5ms);
        }
    }

    std::optional<stepwise_server> replica{std::in_place};
    std::vector<stepwise_server::connection> open;

    /// Replicas to which a connection was refused.
    std::vector<std::string> refused;

    /// Requests whose abandoned calls broke.
    std::vector<std::string> broken;
};

// Guards against a request that crashes replicas and is never quarantined: the
// connection that carried it closed first, and no crash was noted while another
// one to the replica was still open.
TEST_CASE("a crash is noticed when the host has several connections")
{
    connected_fixture node;
    node.send("poison");
    stepwise_server::read_head(node.open.front());
    node.crash();
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

// Guards against a request that crashes replicas and is never quarantined, as
// its caller leaves before the crash.
TEST_CASE("a crash is noticed when nobody waits for the call any more")
{
    // Before this host closes the connection, or after.
    const milliseconds grace = GENERATE(10s, 0s);
    connected_fixture node;
    const auto call = node.send("poison");
    stepwise_server::read_head(node.open.front());
    node.pool.abandon(call, grace);
    node.context.run_for(100ms);
    node.crash();
    node.run([&node] { return !node.refused.empty(); });
    CHECK(node.refused == std::vector<std::string>{"i-2"});
    CHECK(node.broken == std::vector<std::string>{"poison"});
}

TEST_CASE("an abandoned call of an answered request is not held against it")
{
    connected_fixture node;
    const auto call = node.send("sound");
    stepwise_server::read_head(node.open.front());
    call->request_answered = true;
    node.pool.abandon(call, 10s);
    node.crash();
    node.context.run_for(100ms);
    CHECK(node.refused.empty());
    CHECK(node.broken.empty());
}

TEST_CASE("no connection is made to check a replica whose call was given up")
{
    connected_fixture node;
    const auto call = node.send("slow");
    stepwise_server::read_head(node.open.front());
    node.open.back().close();
    node.context.run_for(20ms);
    node.pool.abandon(call, 0s);
    node.context.run_for(200ms);
    CHECK_FALSE(node.replica->try_accept());
    CHECK(node.refused.empty());
}

// A replica may end as planned in the middle of a call.
TEST_CASE("the end of a replica that has said that it leaves is no crash")
{
    const bool abandoned = GENERATE(false, true);
    connected_fixture node;
    const auto call = node.send("sound");
    stepwise_server::read_head(node.open.front());
    replica leaving =
        connected_fixture::describe("i-2", node.replica->address());
    leaving.leaving = true;
    node.pool.set_replica(leaving);
    if (abandoned)
    {
        node.pool.abandon(call, 10s);
    }
    node.crash();
    node.context.run_for(200ms);
    CHECK(node.refused.empty());
}

TEST_CASE("idle connections that a replica closes are no crash")
{
    connected_fixture node;
    const auto call = node.send("slow");
    stepwise_server::read_head(node.open.front());
    node.pool.abandon(call, 10s);
    for (auto& connection : node.open)
    {
        connection.close();
        node.context.run_for(5ms);
    }
    node.run([&node] { return node.replica->try_accept().has_value(); });
    CHECK(node.broken == std::vector<std::string>{"slow"});
    CHECK(node.refused.empty());
}

} // namespace
