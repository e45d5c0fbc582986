/// The named values of the stand-in platform.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// How the platform's service behaves.
enum class platform_mode : std::uint8_t
{
    up,
    down,    ///< closes no connection and answers 503
    stale,   ///< answers what it held when it became stale
    garbage, ///< answers bytes that mean nothing
    slow     ///< answers after a second
};

/// The mode of this name, if there is one.
[[nodiscard]] std::optional<platform_mode>
to_platform_mode(const std::string& name);

/// One value with the number of times it was set.
struct platform_value
{
    std::uint64_t revision = 0;
    std::string bytes;
};

/// Values as they are and as a stale service tells them.
class platform_values
{
public:
    /// Sets a value and returns its new revision.
    std::uint64_t set(const std::string& name, std::string bytes);

    void set_mode(platform_mode mode);

    [[nodiscard]] platform_mode mode() const;

    /// The value as it is told at present; nothing when there is none.
    [[nodiscard]] std::optional<platform_value>
    told(const std::string& name) const;

    /// The revision that the value has or that `set` would give it next.
    [[nodiscard]] std::uint64_t revision(const std::string& name) const;

private:
    std::map<std::string, platform_value> values;
    std::map<std::string, platform_value> stale_values;
    platform_mode present = platform_mode::up;
};

} // namespace basilpath::standin
