#include "request/result_code.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <sstream>

namespace
{

using namespace basilpath;

std::string read_file(const std::string& name)
{
    std::ifstream file(fmt::format("{}/{}", BASILPATH_SOURCE_DIR, name));
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST_CASE("the result code table in the docs is the one in the code")
{
    const std::string page = read_file("docs/result-codes.md");
    std::size_t rows = 0;
    for (const result_info& row : result_table())
    {
        const std::string line = fmt::format(
            "| {} | {} | {} | {} | {} |\n", static_cast<unsigned>(row.code),
            row.name, row.http_status, row.not_run ? "yes" : "no", row.meaning);
        CAPTURE(line);
        CHECK(page.find(line) != std::string::npos);
        ++rows;
    }
    std::size_t lines = 0;
    std::istringstream stream(page);
    for (std::string line; std::getline(stream, line);)
    {
        lines += !line.empty() && line[0] == '|' ? 1 : 0;
    }
    CHECK(lines == rows + 2);
}

TEST_CASE("numbers that are no result code are refused")
{
    CHECK(to_result_code(0) == result_code::complete);
    CHECK(to_result_code(302) == result_code::outcome_unknown);
    CHECK_FALSE(to_result_code(99));
    CHECK_FALSE(to_result_code(70'000));
}

} // namespace
