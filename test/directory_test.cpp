#include "entry_fixture.hpp"
#include "process/directory.hpp"
#include "process/load_exchange.hpp"

#include <map>

namespace
{

using namespace basilpath;
using namespace basilpath::test;
using namespace std::chrono_literals;

// Counts how often each host stands first in many directories.
std::map<std::string, int> first_hosts(const system_state& state,
                                       const directory_query& query,
                                       const std::map<host_id, double>& load)
{
    std::mt19937_64 random(7);
    std::map<std::string, int> counts;
    for (int i = 0; i < 2000; ++i)
    {
        const directory made = choose_directory(state, query, load,
                                                [&random] { return random(); });
        ++counts[made.hosts.front().address.value];
        CHECK(made.keep >= 15s);
        CHECK(made.keep < 25s);
    }
    return counts;
}

// Names the callers' addresses of the fixture's hosts.
std::shared_ptr<system_state> make_named_state()
{
    auto state = entry_fixture::make_state();
    auto hosts = std::make_shared<host_list>(*state->hosts);
    for (host& one : hosts->hosts)
    {
        one.callers = http_address(one.id.value);
    }
    state->hosts = hosts;
    return state;
}

TEST_CASE("the directory prefers near hosts and hosts with little load")
{
    const auto state = make_named_state();
    const auto near =
        first_hosts(*state, {failure_domain("west"), service_name()}, {});
    CHECK(near.at("h2") > 1000);
    const auto loaded = first_hosts(*state, {}, {{host_id("h1"), 0.95}});
    CHECK(loaded.at("h1") < loaded.at("h2") / 5);
    CHECK(loaded.at("h1") < loaded.at("h3") / 5);
}

TEST_CASE("leaving and dead hosts are not named while another is left")
{
    const auto state = make_named_state();
    auto hosts = std::make_shared<host_list>(*state->hosts);
    hosts->hosts[0].leaving = true;
    state->hosts = hosts;
    state->dead_hosts.insert(host_id("h2"));
    const auto counts = first_hosts(*state, {}, {});
    CHECK(counts.size() == 1);
    CHECK(counts.contains("h3"));
}

TEST_CASE("loads are told to few hosts and forgotten after a while")
{
    entry_fixture entry;
    load_exchange<virtual_runtime, scripted_peers> exchange(
        entry.run, entry.peers, host_id("h1"));
    exchange.tell(*entry.state, 0.5);
    CHECK(entry.peers.record.find("entry-h1") == std::string::npos);
    CHECK(entry.peers.record.find("entry-h2") != std::string::npos);
    CHECK(entry.peers.record.find("entry-h3") != std::string::npos);
    wire::Load told;
    told.set_host("h2");
    told.set_used(7.0);
    exchange.receive(told);
    CHECK(exchange.loads().at(host_id("h2")) == 1.0);
    entry.run.run_until(6s);
    CHECK_FALSE(exchange.loads().contains(host_id("h2")));
    CHECK(exchange.loads().at(host_id("h1")) == 0.5);
}

} // namespace
