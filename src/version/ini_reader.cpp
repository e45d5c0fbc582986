#include "version/ini_reader.hpp"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>

namespace basilpath
{

namespace
{

constexpr const char* malformed_line =
    "the line is not a section, a key = value pair or a comment";

/// Feeds the parser line by line and collects what it finds.
struct line_feed
{
    std::string_view rest;
    int line = 0;
    ini_text result;
};

// Tells whether a character may not stand in a line.
bool is_control(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || byte == 0x7f;
}

// Takes the next line off the text, without its end and its indentation.
std::string_view next_line(line_feed& feed)
{
    const auto end = std::min(feed.rest.find('\n'), feed.rest.size());
    std::string_view line = feed.rest.substr(0, end);
    feed.rest.remove_prefix(std::min(end + 1, feed.rest.size()));
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    const auto start = std::min(line.find_first_not_of(" \t"), line.size());
    return line.substr(start);
}

// Tells whether a line is empty, a comment, a section or a pair.
bool is_well_formed(std::string_view line)
{
    if (line.empty() || line.front() == ';' || line.front() == '#')
    {
        return true;
    }
    return line.find_first_of(line.front() == '[' ? "]" : "=:") !=
           std::string_view::npos;
}

// Says what keeps a line from being read; empty when nothing does.
std::string fault_of(std::string_view line)
{
    if (line.size() > ini_line_limit)
    {
        return fmt::format("the line has {} characters; at most {} are read",
                           line.size(), ini_line_limit);
    }
    if (std::ranges::any_of(line, is_control))
    {
        return "the line holds a control character";
    }
    if (line.starts_with('[') && line.find(']') > ini_section_limit + 1 &&
        line.find(']') != std::string_view::npos)
    {
        return fmt::format("the section name is longer than {} characters",
                           ini_section_limit);
    }
    return is_well_formed(line) ? "" : malformed_line;
}

// Notes a section, which the parser tells only with the section's first line.
void note_header(line_feed& feed, std::string_view line)
{
    if (line.starts_with('['))
    {
        feed.result.headers.push_back(
            {feed.line, std::string(line.substr(1, line.find(']') - 1))});
    }
}

// Gives the parser one line; a faulty line is noted and given as empty.
char* feed_line(char* buffer, int size, void* stream)
{
    auto& feed = *static_cast<line_feed*>(stream);
    if (feed.rest.empty())
    {
        return nullptr;
    }
    ++feed.line;
    std::string_view line = next_line(feed);
    std::string fault = fault_of(line);
    if (fault.empty() && line.size() + 2 > static_cast<std::size_t>(size))
    {
        fault = "the line is too long";
    }
    if (!fault.empty())
    {
        feed.result.faults.push_back({feed.line, std::move(fault)});
        line = {};
    }
    note_header(feed, line);
    std::ranges::copy(line, buffer);
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

// Takes one key from the parser.
int take_line(void* user, const char* section, const char* name,
              const char* value)
{
    auto& feed = *static_cast<line_feed*>(user);
    feed.result.lines.push_back(
        {feed.line, section, name, value == nullptr ? "" : value});
    return 1;
}

} // namespace

ini_text read_ini(std::string_view bytes)
{
    line_feed feed{bytes, 0, {}};
    const int status = ini_parse_stream(feed_line, &feed, take_line, &feed);
    if (status > 0)
    {
        feed.result.faults.push_back({status, malformed_line});
    }
    std::ranges::stable_sort(feed.result.faults, {}, &ini_fault::line);
    return std::move(feed.result);
}

} // namespace basilpath
