#include "golden.hpp"
#include "node_session_fixture.hpp"

#include <algorithm>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

TEST_CASE("golden: the answer of a replica is passed on unchanged")
{
    node_session_fixture node;
    node.start("/one/x");
    node.run.run_until(1s);
    check_golden("node-forward.txt", node.targets.record.text);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("golden: a request that a replica sheds is sent to another one")
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

TEST_CASE("a non-idempotent request that may have run is sent once")
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
    // Neither 503 nor 429, as the request may have run.
    CHECK(node.replies[0].status == (end == 1 ? 500 : 504));
    CHECK_FALSE(node.replies[0].status == 503);
}

// Guards against a promise that a request has not run which rests on the copy
// of an answer to another request, and against passing that copy on.
TEST_CASE("a rejection that may be a copy is no answer and no promise")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        target_script script = shed();
        script.result.reply.not_executed = false;
        script.result.reply.unattributed = true;
        return script;
    };
    const auto [target, sends] = GENERATE(
        table<std::string, std::size_t>({{"/one/x", 2}, {"/order/x", 1}}));
    node.start(target);
    node.run.run_until(4s);
    CHECK(node.targets.sent == sends);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 504);
}

/// A failure of a replica as it arrives, with the headers to pass on.
target_script signed_failure(unsigned status)
{
    target_script script = failure(status);
    script.result.reply.headers = {{"X-Response-Signature", "sig-failure"}};
    return script;
}

// Guards against an order that runs twice: a replica that had run it answered
// 503, which promises the caller that it had not.
TEST_CASE("a failure after the run promises nothing for an order")
{
    const unsigned status = GENERATE(408U, 421U, 429U, 503U);
    const bool shed_first = GENERATE(false, true);
    node_session_fixture node;
    node.targets.behave =
        [status, shed_first](const target_call&, std::size_t sent)
    {
        return shed_first && sent == 0 ? shed() : signed_failure(status);
    };
    node.start("/order/x");
    node.run.run_until(4s);
    CHECK(node.targets.sent == (shed_first ? 2 : 1));
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 502);
    // A signature would state that the replica had answered 502.
    CHECK(node.replies[0].headers.empty());
    CHECK(node.replies[0].body != "failure");
}

TEST_CASE("other failures of a replica are passed on unchanged")
{
    const auto [target, status] = GENERATE(table<std::string, unsigned>(
        {{"/order/x", 400},
         {"/order/x", 409},
         {"/order/x", 500},
         {"/order/x", 502},
         {"/order/x", 504},
         // May be repeated, so that no promise is needed.
         {"/one/x", 408},
         {"/one/x", 429},
         {"/one/x", 503}}));
    node_session_fixture node;
    node.targets.behave = [status = status](const target_call&, std::size_t)
    {
        return signed_failure(status);
    };
    node.start(target);
    node.run.run_until(4s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == status);
    CHECK(node.replies[0].headers.size() == 1);
    CHECK(node.replies[0].body == "failure");
}

TEST_CASE("a non-idempotent request is retried after a not-executed answer")
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

TEST_CASE("a request is refused as not run only when no replica executed it")
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

TEST_CASE("a call that cannot be sent is not charged to the retry budget")
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
    // One request earns a fifth of a retry, less a margin. The slack of one
    // host is half of 10, and nothing was spent.
    CHECK(left > 5.0);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 200);
}

TEST_CASE("the failure of a replica is passed on when all replicas fail")
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

TEST_CASE("a request is answered before the timeout of its route")
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

TEST_CASE("a path without a route is answered with 404, any path without a "
          "configuration with 503")
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
