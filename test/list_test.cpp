#include "version/host_list.hpp"
#include "version/target_list.hpp"

#include <catch2/catch.hpp>

namespace
{

using namespace basilpath;

std::string refusal_of_targets(const std::string& text)
{
    std::string reason;
    CHECK_FALSE(parse_target_list(text, &reason));
    return reason;
}

const std::string one_host = "region = r\ndomain = d\ncallers = 127.0.0.1:1\n"
                             "entry = 127.0.0.1:2\nrelay = 127.0.0.1:3\n"
                             "agent = 127.0.0.1:4\n";

TEST_CASE("a target list says where leaves listen and which are leaving")
{
    std::string reason;
    const auto list = parse_target_list("[targets]\nrevision = 9\n[leaves]\n"
                                        "a-1 = 127.0.0.1:80 live\n"
                                        "b = [::1]:81 leaving\n",
                                        &reason);
    INFO(reason);
    REQUIRE(list);
    CHECK(list->revision == 9);
    REQUIRE(list->entries.size() == 2);
    CHECK(list->entries.at(leaf_id("a-1")).address ==
          http_address("127.0.0.1:80"));
    CHECK(list->entries.at(leaf_id("b")).leaving);
}

TEST_CASE("a faulty target list is refused with a reason")
{
    const std::string head = "[targets]\nrevision = 9\n[leaves]\n";
    CHECK(refusal_of_targets("[leaves]\n") ==
          "line 0: one section [targets] is wanted");
    CHECK(refusal_of_targets(head + "a = 127.0.0.1:80 gone\n") ==
          "line 4: a=127.0.0.1:80 gone is not accepted; it takes LEAF = "
          "IP:PORT live|leaving");
    CHECK(refusal_of_targets(head + "a = 127.0.0.1:80 live\n" +
                             "a = 127.0.0.1:81 live\n") ==
          "line 5: leaf a is given twice");
    CHECK_FALSE(refusal_of_targets(head + "a = b:80 live\n").empty());
    CHECK(refusal_of_targets(head + "[hosts]\n") ==
          "line 4: unknown section [hosts]");
    CHECK_FALSE(
        refusal_of_targets("[targets]\nrevision = -1\n[leaves]\n").empty());
}

TEST_CASE("a host list names live and leaving hosts in order")
{
    std::string reason;
    const auto list = parse_host_list(
        "[hosts]\nrevision = 2\n[host b]\n" + one_host +
            "state = leaving\n[host a]\n" + one_host + "state = live\n",
        &reason);
    INFO(reason);
    REQUIRE(list);
    CHECK(list->revision == 2);
    REQUIRE(list->hosts.size() == 2);
    CHECK(list->hosts[0].id == host_id("a"));
    CHECK_FALSE(list->hosts[0].leaving);
    CHECK(list->hosts[1].leaving);
    CHECK(list->hosts[1].agent == peer_address("127.0.0.1:4"));
}

TEST_CASE("a faulty host list is refused with a reason")
{
    std::string reason;
    const std::string head = "[hosts]\nrevision = 2\n[host a]\n" + one_host;
    CHECK_FALSE(parse_host_list(head, &reason));
    CHECK(reason == "line 3: [host a] has no state");
    const std::string twice =
        head + "state = live\n[host a]\n" + one_host + "state = live\n";
    CHECK_FALSE(parse_host_list(twice, &reason));
    CHECK(reason == "host a is given twice");
}

} // namespace
