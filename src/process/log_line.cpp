#include "process/log_line.hpp"

#include <charconv>

namespace basilpath
{

namespace
{

constexpr int hexadecimal = 16;

// Takes one character of a quoted value off `rest`.
std::optional<char> take_escaped(std::string_view& rest)
{
    const char first = rest.front();
    rest.remove_prefix(1);
    if (first != '\\')
    {
        return first;
    }
    if (rest.empty())
    {
        return std::nullopt;
    }
    const char kind = rest.front();
    rest.remove_prefix(1);
    if (kind != 'x')
    {
        return kind;
    }
    constexpr std::size_t digits = 2;
    int code = 0;
    const auto read = std::from_chars(
        rest.data(), rest.data() + std::min(digits, rest.size()), code,
        hexadecimal);
    if (read.ptr != rest.data() + digits)
    {
        return std::nullopt;
    }
    rest.remove_prefix(digits);
    return static_cast<char>(code);
}

// Takes a value off `rest`, up to and without the space that ends it.
std::optional<std::string> take_value(std::string_view& rest)
{
    if (!rest.starts_with('"'))
    {
        const std::string value(rest.substr(0, rest.find(' ')));
        rest.remove_prefix(value.size());
        return value;
    }
    rest.remove_prefix(1);
    std::string value;
    while (!rest.empty() && rest.front() != '"')
    {
        const auto one = take_escaped(rest);
        if (!one)
        {
            return std::nullopt;
        }
        value += *one;
    }
    if (rest.empty())
    {
        return std::nullopt;
    }
    rest.remove_prefix(1);
    return value;
}

} // namespace

std::optional<log_line> log_line::parse(std::string_view text)
{
    while (text.ends_with('\n') || text.ends_with('\r'))
    {
        text.remove_suffix(1);
    }
    if (!text.starts_with("time="))
    {
        return std::nullopt;
    }
    log_line line;
    while (!text.empty())
    {
        const auto equals = text.find('=');
        if (equals == 0 || equals == std::string_view::npos)
        {
            return std::nullopt;
        }
        std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        auto value = take_value(text);
        if (!value || (!text.empty() && text.front() != ' '))
        {
            return std::nullopt;
        }
        line.fields.emplace(std::move(key), std::move(*value));
        text.remove_prefix(text.empty() ? 0 : 1);
    }
    return line.has("event") ? std::optional(std::move(line)) : std::nullopt;
}

const std::string& log_line::value(std::string_view key) const
{
    static const std::string none;
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? none : found->second;
}

long long log_line::number(std::string_view key) const
{
    const std::string& text = this->value(key);
    long long number = 0;
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), number);
    return read.ec == std::errc{} ? number : 0;
}

} // namespace basilpath
