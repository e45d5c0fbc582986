#include "version/value_sections.hpp"

#include <xxhash.h>

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr std::size_t section_least_bytes = 512;

// One line in this many asks for a cut before itself.
constexpr std::uint64_t lines_per_cut = 48;

// Length of the first line of `bytes`, its end of line included.
std::size_t line_length(std::string_view bytes)
{
    const std::size_t end = bytes.find('\n');
    const std::size_t length =
        end == std::string_view::npos ? bytes.size() : end + 1;
    return std::min(length, section_limit_bytes);
}

// Length of the first section of `bytes`.
std::size_t section_length(std::string_view bytes)
{
    std::size_t length = 0;
    while (length < bytes.size())
    {
        const std::string_view rest = bytes.substr(length);
        const std::size_t next = line_length(rest);
        const bool full = length + next > section_limit_bytes;
        const bool asked =
            length >= section_least_bytes &&
            content_digest(rest.substr(0, next)) % lines_per_cut == 0;
        if (length > 0 && (full || asked))
        {
            break;
        }
        length += next;
    }
    return length;
}

} // namespace

std::uint64_t content_digest(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::vector<value_section> cut_sections(std::string_view bytes)
{
    std::vector<value_section> sections;
    while (!bytes.empty())
    {
        const std::string_view first = bytes.substr(0, section_length(bytes));
        sections.push_back({content_digest(first), first});
        bytes.remove_prefix(first.size());
    }
    return sections;
}

} // namespace basilpath
