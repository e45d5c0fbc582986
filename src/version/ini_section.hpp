/// The lines of an INI text, grouped by section.
#pragma once

#include "version/ini_reader.hpp"

#include <span>
#include <string>
#include <vector>

namespace basilpath
{

/// One section as it stands in the text; a name that stands twice gives two.
struct ini_section
{
    /// Line of the header, from 1; 0 for lines before the first header.
    int line = 0;

    /// First word of the header, e.g. `service`.
    std::string kind;

    /// Rest of the header, e.g. the name of the service.
    std::string name;

    /// Points into the text that was grouped.
    std::span<const ini_line> lines;
};

/// Groups the lines of a text, which must outlive the result.
[[nodiscard]] std::vector<ini_section> group_sections(const ini_text& text);

/// Splits a text into words at spaces and tabs.
[[nodiscard]] std::vector<std::string_view> split_words(std::string_view text);

} // namespace basilpath
