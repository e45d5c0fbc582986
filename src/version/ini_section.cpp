#include "version/ini_section.hpp"

#include <algorithm>
#include <string_view>

namespace basilpath
{

namespace
{

constexpr std::string_view blanks = " \t";

// Splits a header into its first word and the rest.
ini_section make_section(int line, std::string_view header)
{
    const auto words = split_words(header);
    ini_section section;
    section.line = line;
    if (!words.empty())
    {
        section.kind = words.front();
        const auto rest = std::min(
            header.find_first_not_of(blanks, header.find(words.front()) +
                                                 words.front().size()),
            header.size());
        section.name = header.substr(rest);
        const auto last = section.name.find_last_not_of(blanks);
        section.name.erase(std::min(last + 1, section.name.size()));
    }
    return section;
}

} // namespace

std::vector<ini_section> group_sections(const ini_text& text)
{
    std::vector<ini_section> sections;
    auto next = text.lines.begin();
    const auto take_until = [&](int line)
    {
        const auto begin = next;
        next = std::find_if(next, text.lines.end(),
                            [line](const ini_line& one)
                            { return one.line >= line; });
        return std::span<const ini_line>(begin, next);
    };
    const int past_end = text.lines.empty() ? 1 : text.lines.back().line + 1;
    const int first =
        text.headers.empty() ? past_end : text.headers.front().line;
    if (const auto stray = take_until(first); !stray.empty())
    {
        sections.push_back(make_section(0, ""));
        sections.back().lines = stray;
    }
    for (auto header = text.headers.begin(); header != text.headers.end();
         ++header)
    {
        const auto after = std::next(header);
        sections.push_back(make_section(header->line, header->name));
        sections.back().lines =
            take_until(after == text.headers.end() ? past_end : after->line);
    }
    return sections;
}

std::vector<std::string_view> split_words(std::string_view text)
{
    std::vector<std::string_view> words;
    while (true)
    {
        const auto start = text.find_first_not_of(blanks);
        if (start == std::string_view::npos)
        {
            return words;
        }
        text.remove_prefix(start);
        const auto end = std::min(text.find_first_of(blanks), text.size());
        words.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
}

} // namespace basilpath
