#include "process/file.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <filesystem>
#include <regex>
#include <set>
#include <string>

namespace
{

using namespace basilpath;

// Returns what the first group of the pattern matches in the text.
std::set<std::string> collect(const std::string& text,
                              const std::string& pattern)
{
    std::set<std::string> found;
    const std::regex expression(pattern);
    const auto begin =
        std::sregex_iterator(text.begin(), text.end(), expression);
    for (auto match = begin; match != std::sregex_iterator(); ++match)
    {
        found.insert((*match)[1]);
    }
    return found;
}

TEST_CASE("docs/operate/settings.md lists the keys that the sources read")
{
    const std::filesystem::path root = BASILPATH_SOURCE_DIR;
    std::string sources;
    for (const auto& entry :
         std::filesystem::directory_iterator(root / "src/process"))
    {
        sources += read_file(entry.path().string()).value_or("");
    }
    const std::string page =
        read_file((root / "docs/operate/settings.md").string()).value_or("");
    const auto read = collect(
        sources,
        R"(reader\.(?:text|integer|number|address|choice)\(\s*"([a-z_.]+)\")");
    CHECK(read.size() > 10);
    CHECK(collect(page, "\\| `([a-z_.]+)`") == read);
}

} // namespace
