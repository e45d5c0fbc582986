#include "golden.hpp"
#include "scripted_leaves.hpp"

namespace
{

using namespace basilpath;
using namespace basilpath::test;

result_code code_of(const wire::LeafExecuteResult& one)
{
    return to_result_code(one.code()).value_or(result_code::bad_reply);
}

TEST_CASE("a request to execute uses a new connection and runs once")
{
    relay_session session(1);
    session.execute("x1");
    session.run_until(1ms);
    session.execute("x1");
    session.run_until(50ms);
    session.execute("x1");
    session.run_until(100ms);
    CHECK(session.leaves.calls["0-a"] + session.leaves.calls["0-b"] == 1);
    check_golden("relay_execute_repeated.txt", session.record.text);
}

TEST_CASE("a request to execute moves on only while it has not run")
{
    const auto number = GENERATE(409, 429, 503, 504, 0);
    relay_session session(1);
    const auto refuse = [number](const scripted_call&)
    {
        return number == 0 ? lost(http_outcome::connect_failed)
                           : status(number);
    };
    session.leaves.scripts["0-a"] = refuse;
    session.leaves.scripts["0-b"] = refuse;
    session.execute("x1");
    session.run_until(300ms);
    CAPTURE(number);
    CHECK(session.leaves.calls["0-a"] == 1);
    CHECK(session.leaves.calls["0-b"] == 1);
    REQUIRE(session.peers.executes.size() == 1);
    CHECK(info(code_of(session.peers.executes[0])).not_run);
}

TEST_CASE("a request to execute that may have run is never sent again")
{
    const auto kind = GENERATE(0, 1, 2, 3, 4);
    relay_session session(1);
    const auto fail = [kind](const scripted_call& call)
    {
        scripted_reply garbage = served(call);
        garbage.reply.body = "{";
        scripted_reply crossed = served(call);
        crossed.reply.body.replace(crossed.reply.body.find("x1"), 2, "x2");
        const std::vector<scripted_reply> all{lost(http_outcome::dropped),
                                              lost(http_outcome::timed_out),
                                              garbage, crossed, status(500)};
        return all.at(static_cast<std::size_t>(kind));
    };
    session.leaves.scripts["0-a"] = fail;
    session.leaves.scripts["0-b"] = fail;
    session.execute("x1");
    session.run_until(300ms);
    CAPTURE(kind);
    CHECK(session.leaves.calls["0-a"] + session.leaves.calls["0-b"] == 1);
    REQUIRE(session.peers.executes.size() == 1);
    CHECK(code_of(session.peers.executes[0]) == result_code::outcome_unknown);
}

TEST_CASE("a request to execute that waits past its deadline is not sent")
{
    relay_session session(1, 1);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        return served(call, 80ms);
    };
    session.query("q1", {0}, 1s);
    session.query("q2", {0}, 1s);
    session.execute("x1", 20ms);
    session.run_until(300ms);
    CHECK(session.leaves.calls["0-a"] == 2);
    REQUIRE(session.peers.executes.size() == 1);
    CHECK(code_of(session.peers.executes[0]) ==
          result_code::expired_before_send);
}

TEST_CASE("a relay that wakes late sends no request to execute")
{
    relay_session session(1, 1);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        return served(call, 10ms);
    };
    session.query("q1", {0}, 1s);
    session.query("q2", {0}, 1s);
    session.execute("x1", 100ms);
    session.run_until(1ms);
    relay_session::pause(2s);
    session.run_until(3s);
    CHECK(session.leaves.calls["0-a"] == 2);
    REQUIRE(session.peers.executes.size() == 1);
    CHECK(code_of(session.peers.executes[0]) ==
          result_code::expired_before_send);
}

} // namespace
