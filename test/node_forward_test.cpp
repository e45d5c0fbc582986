#include "golden.hpp"
#include "node_session_fixture.hpp"

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

TEST_CASE("golden: a look-up is answered unchanged")
{
    node_session_fixture node;
    node.start("/one/x");
    node.run.run_until(1s);
    check_golden("node-forward.txt", node.targets.record.text);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("golden: a look-up that a replica sheds is sent to another")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t sent)
    {
        return sent == 0 ? shed() : good_answer(call.to.value);
    };
    node.start("/one/x");
    node.run.run_until(1s);
    check_golden("node-forward-shed.txt", node.targets.record.text);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("what may not be repeated is sent once, whatever comes of it")
{
    const auto end = GENERATE(0, 1, 2);
    node_session_fixture node;
    node.targets.behave = [end](const target_call& call, std::size_t)
    {
        return end == 0   ? lost(call_end::broken, 5ms)
               : end == 1 ? failure(500)
                          : good_answer(call.to.value, 3s);
    };
    node.start("/order/x");
    node.run.run_until(4s);
    CHECK(node.targets.sent == 1);
    REQUIRE(node.replies.size() == 1);
    // Neither 503 nor 429: it may have run.
    CHECK(node.replies[0].status == (end == 1 ? 500 : 504));
    CHECK_FALSE(node.replies[0].status == 503);
}

TEST_CASE("what may not be repeated goes on only when a replica says that it "
          "did not run it")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t sent)
    {
        return sent == 0 ? shed() : good_answer(call.to.value);
    };
    node.start("/order/x");
    node.run.run_until(1s);
    CHECK(node.targets.sent == 2);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("a refusal that says not run is given only when no replica ran it")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        return shed();
    };
    node.start("/order/x");
    node.run.run_until(1s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
    CHECK(node.replies[0].retry_after.has_value());
    CHECK(node.answered_at[0] < 10ms);
}

TEST_CASE("a call that cannot be sent does not count as a repeat")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t sent)
    {
        return sent == 0 ? lost(call_end::unsent) : good_answer(call.to.value);
    };
    node.start("/order/x");
    node.run.run_until(1s);
    const double left =
        node.budget.left(service_name("one"), scripted_targets::now());
    // One request earned a fifth of a repeat (less a margin); the slack of one
    // host is half of 10; nothing was spent.
    CHECK(left > 5.0);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("a failure of a replica is passed on when there is no other")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        return failure(500);
    };
    node.start("/one/x");
    node.run.run_until(1s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 500);
    CHECK(node.replies[0].body == "failure");
}

TEST_CASE("a request is answered by its route's timeout")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call& call, std::size_t)
    {
        return good_answer(call.to.value, 10s);
    };
    node.start("/one/x", 6000ms);
    node.run.run_until(7s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 504);
    CHECK(node.answered_at[0] <= 1500ms);
}

TEST_CASE("a path that no route takes is refused, and everything is without a "
          "configuration")
{
    node_session_fixture node;
    node.start("/none/x");
    node.run.run_until(1ms);
    node.queries.set_routes(nullptr);
    node.start("/one/x");
    node.run.run_until(2ms);
    REQUIRE(node.replies.size() == 2);
    CHECK(node.replies[0].status == 404);
    CHECK(node.replies[1].status == 503);
    CHECK(node.targets.sent == 0);
}

} // namespace
