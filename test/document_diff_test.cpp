#include "version/document_diff.hpp"

#include "golden.hpp"
#include "sample_document.hpp"
#include "version/document_parser.hpp"

#include <algorithm>
#include <random>

namespace
{

using namespace basilpath;

std::shared_ptr<const document> parse(const std::string& text)
{
    parsed_document parsed = parse_document(text);
    REQUIRE(parsed.value);
    return parsed.value;
}

std::string replace(std::string text, const std::string& from,
                    const std::string& to)
{
    const auto place = text.find(from);
    REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

TEST_CASE("documents that mean the same differ in nothing but their number")
{
    const std::string text = basilpath::test::make_document_text(1);
    const auto one = parse(text);
    CHECK(diff_documents(*one, *one).empty());
    const auto commented =
        parse(replace("; a comment\n" + text, "version = 1", "version=2"));
    const auto changes = diff_documents(*one, *commented);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].subject == "version");
    CHECK(changes[0].effect == "takes force");
}

TEST_CASE("every kind of change is told")
{
    const std::string before = basilpath::test::make_document_text(1);
    std::string after = replace(before, "version = 1", "version = 2");
    after = replace(after, "kind = fanout", "kind = fanout\nitem_limit = 9");
    after = replace(after, "worth = 2", "worth = 4");
    after = replace(after, "a = north\n", "a = north slots=5\nc = east\n");
    after += "[shards s/2]\n0 = a b\n1 = c\n2 = b\n";
    after += "[service t]\nkind = lookup\n[class d]\nservice = t\nworth = 1\n"
             "deadline_ms = 10\nobjective_ms = 10\n[leaves t]\n"
             "connections = 8\nt-1 = north\n[shards t/1]\n0 = t-1\n";
    std::string text;
    const auto first = parse(before);
    const auto second = parse(after);
    for (const auto& [from, to] :
         {std::pair{first, second}, std::pair{second, first}})
    {
        for (const document_change& one : diff_documents(*from, *to))
        {
            text += fmt::format("{}|{}|{}|{}|{}\n", one.service, one.subject,
                                one.before, one.after, one.effect);
        }
        text += '\n';
    }
    basilpath::test::check_golden("document-diff.txt", text);
}

TEST_CASE("what is added one way is removed the other way")
{
    std::mt19937 random(3);
    for (int round = 0; round < 50; ++round)
    {
        const auto make = [&](int number)
        {
            std::string text = basilpath::test::make_document_text(number);
            const std::uint64_t classes = random() % 4;
            for (std::uint64_t i = 0; i < classes; ++i)
            {
                text += fmt::format("[class k{}]\nservice = s\nworth = {}\n"
                                    "deadline_ms = 10\nobjective_ms = 10\n",
                                    random() % 100 + 100 * i, random() % 3 + 1);
            }
            return parse(text);
        };
        const auto one = make(1);
        const auto two = make(2);
        auto forth = diff_documents(*one, *two);
        auto back = diff_documents(*two, *one);
        REQUIRE(forth.size() == back.size());
        for (document_change& change : back)
        {
            std::swap(change.before, change.after);
            change.effect.clear();
        }
        for (document_change& change : forth)
        {
            change.effect.clear();
            CHECK(std::ranges::find(back, change) != back.end());
        }
    }
}

} // namespace
