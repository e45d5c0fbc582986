/// Tests that a request which no replica can have received is answered 503, and
/// one that may have left this host is not.
#include "node_session_fixture.hpp"

namespace
{

using namespace basilpath;
using namespace basilpath::test;

TEST_CASE("a request that waits for a connection until its deadline has not "
          "run")
{
    const std::string target = GENERATE("/one/x", "/order/x");
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t)
    {
        return lost(call_end::unsent, 10s);
    };
    node.start(target);
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 503);
    CHECK(node.replies[0].retry_after.has_value());
}

TEST_CASE("a request that one of its calls may have run is not reported as "
          "not run at its deadline")
{
    node_session_fixture node;
    node.targets.behave = [](const target_call&, std::size_t sent)
    {
        return lost(sent == 0 ? call_end::broken : call_end::unsent, 10s);
    };
    node.start("/one/x");
    node.run.run_until(2s);
    REQUIRE(node.replies.size() == 1);
    CHECK(node.replies[0].status == 504);
}

} // namespace
