/// Converting whole texts to numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace basilpath
{

/// Converts a text to a number; nothing when any part of the text is left over
/// or the number does not fit.
template <class Number>
[[nodiscard]] std::optional<Number> to_number(std::string_view text)
{
    Number parsed{};
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, parsed);
    if (result.ec != std::errc{} || result.ptr != end)
    {
        return std::nullopt;
    }
    return parsed;
}

/// Converts a text to a number from `least` to `most`; nothing when it is
/// none. "nan" is in no range.
template <class Number>
[[nodiscard]] std::optional<Number> to_number(std::string_view text,
                                              Number least, Number most)
{
    const auto parsed = to_number<Number>(text);
    if (!parsed || !(*parsed >= least && *parsed <= most))
    {
        return std::nullopt;
    }
    return parsed;
}

} // namespace basilpath
