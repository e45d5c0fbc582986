/// Golden files: compares the whole record of a session with a file in
/// test/golden. When BASILPATH_REGOLD is set in the environment, the file is
/// rewritten first, to be reviewed before it is committed.
#pragma once

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

namespace basilpath::test
{

/// Checks that `text` equals the content of test/golden/NAME.
inline void check_golden(const std::string& name, const std::string& text)
{
    const std::string path =
        fmt::format("{}/test/golden/{}", BASILPATH_SOURCE_DIR, name);
    if (std::getenv("BASILPATH_REGOLD") != nullptr)
    {
        std::ofstream(path, std::ios::binary) << text;
    }
    std::ifstream file(path, std::ios::binary);
    const std::string wanted(std::istreambuf_iterator<char>(file), {});
    INFO("golden file " << name);
    CHECK(text == wanted);
}

} // namespace basilpath::test
