/// Logs: one line of key=value pairs per event, on standard error or standard
/// output.
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// One key with its value; values are quoted and escaped when written.
struct log_field
{
    std::string_view key;
    std::string value;

    template <class Value>
    log_field(std::string_view key, const Value& value)
        : key(key), value(fmt::to_string(value))
    {
    }
};

/// Sets the lowest level that is written; `info` at the start.
void set_log_level(log_level least);

/// Returns the level of this name, if there is one.
[[nodiscard]] std::optional<log_level> to_log_level(std::string_view name);

/// Sets the program name that every line carries.
void set_log_program(std::string_view name);

/// Sets the host that every line names; lines name none at the start.
void set_log_host(std::string_view name);

/// Writes to standard output from now on, through a buffer of bounded size, and
/// never waits for the reader: what does not fit is dropped and counted. Used
/// by programs with one thread, which call `flush_log` now and then.
void use_buffered_output();

/// Writes what is buffered, as far as the reader takes it.
void flush_log();

/// Lines dropped because the reader of standard output did not keep up.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Returns `value`, in quotes with escapes when it holds a space, a quote, an
/// equals sign, a backslash or a control character, or is empty.
[[nodiscard]] std::string escape_log_value(std::string_view value);

/// Writes one line. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields);

} // namespace basilpath
