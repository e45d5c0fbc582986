#include "process/log.hpp"

#include "process/output_buffer.hpp"

#include <fmt/chrono.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

namespace basilpath
{

namespace
{

constexpr std::array<std::string_view, 4> level_names = {"debug", "info",
                                                         "warning", "error"};

std::atomic<log_level> least_level{log_level::info};

// The name is set once, before any other thread starts.
std::string& program_name()
{
    static std::string name = "basilpath";
    return name;
}

// Set once, before any other thread starts; empty for none.
std::string& host_field()
{
    static std::string field;
    return field;
}

// Empty while lines are written to standard error.
std::optional<output_buffer>& buffered_output()
{
    static std::optional<output_buffer> buffer;
    return buffer;
}

// Returns whether a value with this character must be quoted.
bool needs_quotes(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte <= ' ' || byte == 0x7f || c == '"' || c == '=' || c == '\\';
}

// Appends one character of a quoted value.
void append_escaped(std::string& text, char c)
{
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
    {
        text += '\\';
        text += c;
    }
    else if (byte < ' ' || byte == 0x7f)
    {
        fmt::format_to(std::back_inserter(text), "\\x{:02x}", byte);
    }
    else
    {
        text += c;
    }
}

} // namespace

void set_log_level(log_level least)
{
    least_level = least;
}

std::optional<log_level> to_log_level(std::string_view name)
{
    const auto found = std::ranges::find(level_names, name);
    if (found == level_names.end())
    {
        return std::nullopt;
    }
    return static_cast<log_level>(found - level_names.begin());
}

void set_log_program(std::string_view name)
{
    program_name() = name;
}

void set_log_host(std::string_view name)
{
    host_field() = name.empty() ? "" : " host=" + escape_log_value(name);
}

void use_buffered_output()
{
    buffered_output().emplace(STDOUT_FILENO);
}

void flush_log()
{
    if (auto& buffer = buffered_output())
    {
        buffer->flush();
    }
}

std::uint64_t dropped_log_lines()
{
    const auto& buffer = buffered_output();
    return buffer ? buffer->dropped() : 0;
}

std::string escape_log_value(std::string_view value)
{
    if (!value.empty() && std::ranges::none_of(value, needs_quotes))
    {
        return std::string(value);
    }
    std::string text = "\"";
    for (const char c : value)
    {
        append_escaped(text, c);
    }
    text += '"';
    return text;
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (level < least_level.load())
    {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    std::string line =
        fmt::format("time={:%FT%T}.{:03}Z level={} program={}{} event={}",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                    millis, level_names.at(static_cast<std::size_t>(level)),
                    program_name(), host_field(), escape_log_value(event));
    for (const log_field& field : fields)
    {
        line += ' ';
        line += field.key;
        line += '=';
        line += escape_log_value(field.value);
    }
    line += '\n';
    if (auto& buffer = buffered_output())
    {
        buffer->add(line, level >= log_level::warning);
        return;
    }
    fmt::print(stderr, "{}", line);
}

} // namespace basilpath
