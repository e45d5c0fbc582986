#include "agent_network.hpp"
#include "golden.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;
using namespace basilpath::test;

TEST_CASE("a change is in force everywhere", "[golden]")
{
    memory_fleet fleet(8);
    fleet.start_all();
    fleet.run_for(6s);
    REQUIRE(fleet.told(1) == 8);
    fleet.platform.set("document", memory_fleet::document_text(2));
    fleet.run_for(1s);
    CHECK(fleet.told(2) == 8);
    CHECK(fleet.with_dead() == 0);
    check_golden("agent_change.txt", fleet.record);
}

} // namespace
