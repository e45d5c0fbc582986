#include "version/value_sections.hpp"
#include "version/value_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

namespace
{

using namespace basilpath;

// Makes a value of many lines.
std::string make_value(std::uint64_t number, int lines)
{
    std::string text = fmt::format("[targets]\nrevision = {}\n", number);
    for (int i = 0; i < lines; ++i)
    {
        text += fmt::format("leaf-{:05} = 10.0.{}.{}:80 live\n", i, i / 250,
                            i % 250);
    }
    return text;
}

// Bytes of the sections of `next` that `held` does not have.
std::size_t moved_bytes(const std::string& held, const std::string& next)
{
    std::set<std::uint64_t> known;
    for (const value_section& one : cut_sections(held))
    {
        known.insert(one.digest);
    }
    std::size_t moved = 0;
    for (const value_section& one : cut_sections(next))
    {
        moved += known.contains(one.digest) ? 0 : one.bytes.size();
    }
    return moved;
}

TEST_CASE("sections joined are the value and none is too long")
{
    std::mt19937 generator(1);
    for (const std::string& value :
         {make_value(1, 5000), std::string(), std::string(50'000, 'x'),
          std::string("no end of line")})
    {
        std::string joined;
        for (const value_section& one : cut_sections(value))
        {
            CHECK(one.bytes.size() <= section_limit_bytes);
            CHECK(one.digest == content_digest(one.bytes));
            joined += one.bytes;
        }
        CHECK(joined == value);
    }
}

TEST_CASE("a changed line moves few sections, wherever it stands")
{
    const std::string value = make_value(1, 30'000);
    for (const int line : {0, 1, 15'000, 29'999})
    {
        std::string next = make_value(2, 30'000);
        const std::string name = fmt::format("leaf-{:05}", line);
        next.insert(next.find(name), "leaf-new = 10.1.1.1:80 live\n");
        CHECK(moved_bytes(value, next) <= 4 * section_limit_bytes);
    }
}

TEST_CASE("the highest number ends in force in any order of arrival")
{
    std::vector<std::string> values;
    for (std::uint64_t number = 1; number <= 5; ++number)
    {
        values.push_back(make_value(number, 3));
    }
    std::mt19937 generator(7);
    for (int round = 0; round < 50; ++round)
    {
        std::ranges::shuffle(values, generator);
        value_store store;
        std::uint64_t highest = 0;
        for (const std::string& one : values)
        {
            store.offer("targets", one);
            const std::uint64_t held = store.find("targets")->number;
            CHECK(held >= highest);
            highest = held;
        }
        CHECK(highest == 5);
    }
}

TEST_CASE("a value without a number is malformed")
{
    value_store store;
    for (const char* bytes : {"", "garbage", "[targets]\nrevision = x\n",
                              "revision = 3\n", "[other]\nrevision = 3\n"})
    {
        CHECK(store.offer("targets", bytes) == offer_outcome::malformed);
    }
    CHECK(value_number("; remark\n[hosts]\n  revision=12 \r\n") == 12);
}

} // namespace
