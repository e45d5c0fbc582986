#include "version/document_parser.hpp"

#include "golden.hpp"
#include "version/index_version.hpp"

#include <algorithm>
#include <set>

namespace
{

using namespace basilpath;

std::string read_source(const std::string& name)
{
    std::ifstream file(fmt::format("{}/{}", BASILPATH_SOURCE_DIR, name));
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string list_faults(const parsed_document& parsed)
{
    std::string text;
    for (const document_fault& fault : parsed.faults)
    {
        text += fmt::format("{}: {}\n", fault.line, fault.message);
    }
    return text;
}

const std::string small_document = "[deployment]\n"
                                   "name = small\n"
                                   "version = 7\n"
                                   "[service s]\n"
                                   "kind = fanout\n"
                                   "[class c]\n"
                                   "service = s\n"
                                   "worth = 2\n"
                                   "deadline_ms = 100\n"
                                   "objective_ms = 50\n"
                                   "[leaves g]\n"
                                   "slots = 2\n"
                                   "connections = 16\n"
                                   "a = north\n"
                                   "b = south slots=3 connect_us=6000\n"
                                   "[shards s/4]\n"
                                   "1 = b weight=3\n"
                                   "0 = a b\n"
                                   "[shards s/5]\n"
                                   "0 = a\n";

TEST_CASE("a document is read as it is written")
{
    const parsed_document parsed = parse_document(small_document);
    INFO(list_faults(parsed));
    REQUIRE(parsed.value);
    const document& one = *parsed.value;
    CHECK(one.deployment == "small");
    CHECK(one.number == document_number(7));
    const service* const found = one.find_service(service_name("s"));
    REQUIRE(found != nullptr);
    REQUIRE(found->versions.size() == 2);
    CHECK(found->versions[0]->number == version_number(5));
    const index_version& older = *found->versions[1];
    REQUIRE(older.shards.size() == 2);
    CHECK(older.shards[0].leaves ==
          std::vector<leaf_id>{leaf_id("a"), leaf_id("b")});
    CHECK(older.shards[1].weight == 3.0);
    CHECK(older.total_weight == 4.0);
    const leaf* const b = one.find_leaf(leaf_id("b"));
    REQUIRE(b != nullptr);
    CHECK(b->slots == 3);
    CHECK(b->connections == 16);
    CHECK(b->connect_time == microseconds(6000));
    const request_class* const c = one.find_class(class_name("c"));
    REQUIRE(c != nullptr);
    CHECK(c->value == worth(2.0));
    CHECK(c->objective_latency == milliseconds(50));
    CHECK(parse_document(small_document).value->digest == one.digest);
    CHECK(parse_document(small_document + "\n").value->digest != one.digest);
}

TEST_CASE("all faults of a document are listed at once, with their lines")
{
    const parsed_document parsed =
        parse_document(read_source("test/data/faulty.ini"));
    CHECK(!parsed.value);
    basilpath::test::check_golden("document-faults.txt", list_faults(parsed));
}

TEST_CASE("a document that is too large or empty is refused")
{
    CHECK_FALSE(parse_document("").value);
    const std::string padding(1'000'000 - small_document.size(), '\n');
    CHECK(parse_document(small_document + padding).value);
    CHECK_FALSE(parse_document(small_document + padding + "\n").value);
}

TEST_CASE("the listing of faults is bounded")
{
    std::string text = small_document;
    for (int i = 0; i < 5'000; ++i)
    {
        text += "nonsense\n";
    }
    CHECK(parse_document(text).faults.size() == 1'001);
}

TEST_CASE("the sample documents are sound and spread every shard's replicas")
{
    struct sample
    {
        const char* file;
        std::size_t leaves;
    };
    for (const sample& one : {sample{"deploy/ratnapura.ini", 108},
                              sample{"deploy/prairie-grit.ini", 111}})
    {
        const parsed_document parsed = parse_document(read_source(one.file));
        INFO(one.file << "\n" << list_faults(parsed));
        REQUIRE(parsed.value);
        CHECK(parsed.value->leaves.size() == one.leaves);
        std::set<failure_domain> all;
        for (const auto& [id, leaf] : parsed.value->leaves)
        {
            all.insert(leaf.domain);
        }
        for (const auto& [name, service] : parsed.value->services)
        {
            for (const shard& part : service.versions.front()->shards)
            {
                std::set<failure_domain> domains;
                for (const leaf_id& id : part.leaves)
                {
                    domains.insert(parsed.value->find_leaf(id)->domain);
                }
                CHECK(domains.size() ==
                      std::min(part.leaves.size(), all.size()));
            }
        }
    }
}

} // namespace
