/// The named values of the stand-in platform.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilpath::standin
{

/// Behaviour of the platform service.
enum class platform_mode : std::uint8_t
{
    up,
    down,    ///< keeps connections open and answers 503
    stale,   ///< serves the values from when it became stale
    garbage, ///< answers with bytes that cannot be parsed
    slow     ///< answers after 1 s
};

/// Parses the name of a mode; nothing if it is unknown.
[[nodiscard]] std::optional<platform_mode>
to_platform_mode(const std::string& name);

/// A value and its revision, the number of times it was set.
struct platform_value
{
    std::uint64_t revision = 0;
    std::string bytes;
};

/// Stores the current values and those that a stale service serves.
class platform_values
{
public:
    /// Sets a value and returns its new revision.
    std::uint64_t set(const std::string& name, std::string bytes);

    void set_mode(platform_mode mode);

    [[nodiscard]] platform_mode mode() const;

    /// Returns the value that the service currently serves, if any.
    [[nodiscard]] std::optional<platform_value>
    served_value(const std::string& name) const;

    /// Returns the current revision of the value, 0 if it was never set.
    [[nodiscard]] std::uint64_t revision(const std::string& name) const;

private:
    std::map<std::string, platform_value> values;
    std::map<std::string, platform_value> stale_values;
    platform_mode current_mode = platform_mode::up;
};

} // namespace basilpath::standin
