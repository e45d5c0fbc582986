#include "version/acceptance.hpp"

#include "sample_document.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace
{

using namespace basilpath;
using basilpath::test::make_document_text;

using in_force = std::shared_ptr<const document>;

TEST_CASE("each verdict on a document")
{
    const acceptance first = judge_document(make_document_text(5), nullptr);
    REQUIRE(first.verdict == acceptance_verdict::accepted);
    REQUIRE(first.in_force);
    const auto judge = [&](const std::string& bytes)
    {
        return judge_document(bytes, first.in_force);
    };

    CHECK(judge(make_document_text(5)).verdict == acceptance_verdict::same);
    CHECK(judge(make_document_text(6)).verdict == acceptance_verdict::accepted);
    CHECK(judge(make_document_text(6)).in_force->number == document_number(6));

    const acceptance lower = judge(make_document_text(4));
    CHECK(lower.verdict == acceptance_verdict::lower);
    CHECK(lower.in_force == first.in_force);
    CHECK(lower.reason == "version 4 is lower than version 5 in force");

    const acceptance conflict = judge(make_document_text(5, 3));
    CHECK(conflict.verdict == acceptance_verdict::conflict);
    CHECK(conflict.in_force == first.in_force);

    const acceptance faulty = judge("[deployment]\nversion = 9\n");
    CHECK(faulty.verdict == acceptance_verdict::faulty);
    CHECK(faulty.in_force == first.in_force);
    CHECK_FALSE(faulty.faults.empty());
    CHECK(name_of(faulty.verdict) == "faulty");
}

TEST_CASE("a faulty document leaves nothing in force when nothing was")
{
    const acceptance faulty = judge_document("", nullptr);
    CHECK(faulty.verdict == acceptance_verdict::faulty);
    CHECK_FALSE(faulty.in_force);
}

TEST_CASE("the order of arrival does not matter for what ends in force")
{
    std::mt19937 random(7);
    for (int round = 0; round < 200; ++round)
    {
        std::vector<std::string> offered;
        int highest = 0;
        for (int i = 0; i < 8; ++i)
        {
            const int number = static_cast<int>(random() % 12) + 1;
            highest = std::max(highest, number);
            offered.push_back(make_document_text(number));
            offered.push_back(
                fmt::format("[deployment]\nversion = {}\n", number + 100));
        }
        std::ranges::shuffle(offered, random);
        in_force current;
        for (const std::string& bytes : offered)
        {
            const auto before = current ? current->number : document_number(0);
            current = judge_document(bytes, current).in_force;
            const auto after = current ? current->number : document_number(0);
            REQUIRE(after >= before);
        }
        REQUIRE(current);
        CHECK(current->number.value == static_cast<std::uint64_t>(highest));
        CHECK(current->digest ==
              parse_document(make_document_text(highest)).value->digest);
    }
}

TEST_CASE("hosts that hold two documents of one number agree on the next")
{
    const in_force one =
        judge_document(make_document_text(5, 2), nullptr).in_force;
    const in_force other =
        judge_document(make_document_text(5, 3), nullptr).in_force;
    CHECK(judge_document(make_document_text(5, 3), one).verdict ==
          acceptance_verdict::conflict);
    CHECK(judge_document(make_document_text(5, 2), other).verdict ==
          acceptance_verdict::conflict);
    const std::string next = make_document_text(6);
    CHECK(judge_document(next, one).in_force->digest ==
          judge_document(next, other).in_force->digest);
}

} // namespace
