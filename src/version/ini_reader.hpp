/// Reading INI text into lines that remember where they stood.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// One `key = value` with the section it stands in and its line, from 1.
struct ini_line
{
    int line = 0;
    std::string section;
    std::string key;
    std::string value;
};

/// A line that could not be read, and why.
struct ini_fault
{
    int line = 0;
    std::string message;
};

/// Where a section starts, whether or not it has lines.
struct ini_header
{
    int line = 0;
    std::string name;
};

/// What was read of a text.
struct ini_text
{
    std::vector<ini_header> headers;
    std::vector<ini_line> lines;
    std::vector<ini_fault> faults;
};

/// Most characters in one line and in one section name.
inline constexpr std::size_t ini_line_limit = 198;
inline constexpr std::size_t ini_section_limit = 48;

/// Reads INI text. Comments start with `;` or `#`; indentation means nothing.
/// Lines that are too long or hold control characters are faults.
[[nodiscard]] ini_text read_ini(std::string_view bytes);

} // namespace basilpath
