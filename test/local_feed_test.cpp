#include "process/local_feed.hpp"
#include "version/value_sections.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

// Makes a state with two values.
wire::State make_state(const std::string& document, const std::string& hosts)
{
    wire::State state;
    state.set_document(document);
    state.set_hosts(hosts);
    for (const auto& [name, bytes] :
         {std::pair("document", document), std::pair("hosts", hosts)})
    {
        wire::ValueDigest& one = *state.add_values();
        one.set_name(name);
        one.set_digest(content_digest(bytes));
    }
    return state;
}

const peer_address process("127.0.0.1:1");

// Subscribes and returns the answer, which there has to be.
wire::State renew(local_feed& feed, const wire::Subscribe& message)
{
    const auto answer = feed.subscribe(process, message, 0ms);
    REQUIRE(answer);
    return answer.value_or(wire::State());
}

TEST_CASE("a feed without a state says nothing")
{
    local_feed feed;
    CHECK_FALSE(feed.subscribe(process, wire::Subscribe(), 0ms));
    CHECK(feed.changes(0ms).empty());
}

TEST_CASE("a change moves only the values that a process lacks")
{
    local_feed feed;
    feed.set_state(make_state("d1", "h1"));
    const wire::State first = renew(feed, wire::Subscribe());
    CHECK(first.document() == "d1");
    CHECK(first.hosts() == "h1");

    feed.set_state(make_state("d1", "h2"));
    const auto changes = feed.changes(0ms);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].to == process);
    CHECK(changes[0].state.document().empty());
    CHECK(changes[0].state.hosts() == "h2");
    CHECK(feed.changes(0ms).empty());
}

TEST_CASE("a process that lost a message is told again")
{
    local_feed feed;
    feed.set_state(make_state("d1", "h1"));
    CHECK(renew(feed, wire::Subscribe()).document() == "d1");
    CHECK(renew(feed, wire::Subscribe()).document() == "d1");
}

TEST_CASE("a process that is up to date gets the digest alone")
{
    local_feed feed;
    feed.set_state(make_state("d1", "h1"));
    wire::Subscribe renewal;
    renewal.set_digest(renew(feed, wire::Subscribe()).digest());
    const wire::State answer = renew(feed, renewal);
    CHECK(answer.digest() == renewal.digest());
    CHECK(answer.values().empty());
    CHECK(answer.document().empty());
}

TEST_CASE("a process that has gone is forgotten")
{
    local_feed feed;
    feed.set_state(make_state("d1", "h1"));
    CHECK(feed.subscribe(process, wire::Subscribe(), 0ms));
    feed.set_state(make_state("d2", "h1"));
    CHECK(feed.changes(local_feed::subscriber_time_limit + 1ms).empty());
    CHECK(feed.subscribers() == 0);
}

} // namespace
