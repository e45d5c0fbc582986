#include "golden.hpp"
#include "scripted_leaves.hpp"

namespace
{

using namespace basilpath;
using namespace basilpath::test;

TEST_CASE("a query on three shards is answered in one message")
{
    relay_session session(3);
    session.query("q1", {0, 1, 2});
    session.run_until(200ms);
    check_golden("relay_full_answer.txt", session.record.text);
    CHECK(session.subject.in_progress() == 0);
}

TEST_CASE("a late reply is hedged and the loser is cancelled")
{
    relay_session session(1);
    session.warm_up(40);
    session.leaves.scripts["0-a"] = [](const scripted_call& call)
    {
        return served(call, call.body["request"] == "q1" ? 80ms : 5ms);
    };
    session.query("q1", {0});
    session.run_until(600ms);
    check_golden("relay_straggler_hedged.txt", session.record.text);
}

TEST_CASE("a request to execute uses a new connection and runs once")
{
    relay_session session(1);
    session.execute("x1");
    session.run_until(50ms);
    session.execute("x1");
    session.run_until(100ms);
    CHECK(session.leaves.calls["0-a"] + session.leaves.calls["0-b"] == 1);
    check_golden("relay_execute_repeated.txt", session.record.text);
}

} // namespace
