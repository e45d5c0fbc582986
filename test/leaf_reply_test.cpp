#include "request/leaf_reply.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace
{

using namespace basilpath;

constexpr auto head =
    R"({"request":"r\"1","attempt":2,"service":"s","version":3,"shard":4,)";

TEST_CASE("items are taken as the leaf wrote them")
{
    const auto items = GENERATE(
        std::string("[]"), R"([{"id": 1}])", R"([ {"a":[1,[2]],"b":{}} , {} ])",
        R"([{"text":"] } \" é","score":1.5,"none":null,"yes":true}])");
    const auto reply = read_leaf_reply(
        fmt::format(R"({} "extra": [1, {{"items": 3}}], "items": {} , "x":1}})",
                    head, items));
    REQUIRE(reply);
    CHECK(reply->items == items);
    CHECK(reply->request == "r\"1");
    CHECK(reply->attempt == 2);
    CHECK(reply->service == "s");
    CHECK(reply->version == 3);
    CHECK(reply->shard == 4);
}

TEST_CASE("replies that are not of the documented form are refused")
{
    const auto tail = GENERATE(
        std::string(R"("items":[1]})"), R"("items":["a"]})", R"("items":[[]]})",
        R"("items":{}})", R"("items":null})", R"("items":3})", R"("x":1})",
        R"("items":[{}])", R"("items":[{}]}x)", R"("items":[{},]})",
        R"("items":[],"shard":"4"})", R"("items":[],"shard":-4})",
        R"("items":[],"version":{}})", R"("items":[],"request":[]})",
        R"("items":[],"service":7})", "\"items\":[{\"a\":\"\xff\"}]}");
    CAPTURE(tail);
    CHECK_FALSE(read_leaf_reply(head + tail));
    CHECK_FALSE(read_leaf_reply("[" + std::string(head) + tail + "]"));
}

TEST_CASE("a reply cut anywhere is refused")
{
    const std::string whole = head + std::string(R"("items":[{"a":1}]})");
    REQUIRE(read_leaf_reply(whole));
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        CHECK_FALSE(read_leaf_reply(whole.substr(0, length)));
    }
}

TEST_CASE("a reply nested very deeply is read without harm")
{
    const std::string deep(100'000, '[');
    CHECK_FALSE(read_leaf_reply(deep));
    CHECK_FALSE(read_leaf_reply(head + std::string(R"("x":)") + deep));
}

} // namespace
