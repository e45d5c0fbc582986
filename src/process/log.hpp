/// Structured logging: one line of key=value pairs per event, on standard error
/// or standard output.
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

/// A key with its value, which is quoted and escaped when written.
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

/// Sets the lowest level that is written; the default is `info`.
void set_log_level(log_level least);

/// Returns the level of this name; nothing for an unknown name.
[[nodiscard]] std::optional<log_level> to_log_level(std::string_view name);

/// Sets the program name in every line.
void set_log_program(std::string_view name);

/// Sets the host name in every line; by default there is none.
void set_log_host(std::string_view name);

/// Switches to standard output through a bounded buffer that never blocks:
/// lines that do not fit are dropped and counted. For single-threaded programs,
/// which must call `flush_log` periodically.
void use_buffered_output();

/// Writes as much of the buffer as is possible without blocking.
void flush_log();

/// Returns the number of lines dropped because the reader of standard output
/// was too slow.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// Returns `value`, quoted and escaped when it is empty or contains a space, a
/// quote, an equals sign, a backslash or a control character.
[[nodiscard]] std::string escape_log_value(std::string_view value);

/// Writes one line. Thread-safe.
void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields);

} // namespace basilpath
