/// One line of a log, read back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// The fields of one line as `log_event` writes it. A key that comes twice
/// keeps its first value.
class log_line
{
public:
    /// Reads a line; nothing when it is not one of ours.
    [[nodiscard]] static std::optional<log_line> parse(std::string_view text);

    /// The value of a field, empty when the line has none of this name.
    [[nodiscard]] const std::string& value(std::string_view key) const;

    /// The value of a field that is a number, zero when it is not.
    [[nodiscard]] long long number(std::string_view key) const;

    [[nodiscard]] bool has(std::string_view key) const
    {
        return this->fields.contains(key);
    }

private:
    std::map<std::string, std::string, std::less<>> fields;
};

} // namespace basilpath
