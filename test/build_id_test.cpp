#include "process/build_id.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace
{

// Guards against a log that does not tell which program ran, when another one
// than the one that was built has been started.
TEST_CASE("the build id of the program is known")
{
    const std::string id = basilpath::build_id();
    CHECK(id.size() >= 16);
    CHECK(id.find_first_not_of("0123456789abcdef") == std::string::npos);
}

} // namespace
