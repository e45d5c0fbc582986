#include "standin/platform_values.hpp"

#include <utility>

namespace basilpath::standin
{

std::optional<platform_mode> to_platform_mode(const std::string& name)
{
    static const std::map<std::string, platform_mode> modes{
        {"up", platform_mode::up},
        {"down", platform_mode::down},
        {"stale", platform_mode::stale},
        {"garbage", platform_mode::garbage},
        {"slow", platform_mode::slow}};
    const auto found = modes.find(name);
    if (found == modes.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::uint64_t platform_values::set(const std::string& name, std::string bytes)
{
    platform_value& one = this->values[name];
    ++one.revision;
    one.bytes = std::move(bytes);
    return one.revision;
}

void platform_values::set_mode(platform_mode mode)
{
    if (mode == platform_mode::stale && this->current_mode != mode)
    {
        this->stale_values = this->values;
    }
    this->current_mode = mode;
}

platform_mode platform_values::mode() const
{
    return this->current_mode;
}

std::optional<platform_value>
platform_values::served_value(const std::string& name) const
{
    const auto& source = this->current_mode == platform_mode::stale
                             ? this->stale_values
                             : this->values;
    const auto found = source.find(name);
    if (found == source.end())
    {
        return std::nullopt;
    }
    return found->second;
}

std::uint64_t platform_values::revision(const std::string& name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? 0 : found->second.revision;
}

} // namespace basilpath::standin
