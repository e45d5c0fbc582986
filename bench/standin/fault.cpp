#include "standin/fault.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace basilpath::standin
{

namespace
{

using named_kind = std::pair<std::string_view, fault_kind>;

constexpr std::array<named_kind, 15> kinds{{
    {"slow", fault_kind::slow},
    {"stall", fault_kind::stall},
    {"drop_silently", fault_kind::drop_silently},
    {"drop_reply", fault_kind::drop_reply},
    {"drop_connection", fault_kind::drop_connection},
    {"crash", fault_kind::crash},
    {"crash_on_mark", fault_kind::crash_on_mark},
    {"garbage", fault_kind::garbage},
    {"truncate", fault_kind::truncate},
    {"wrong_echo", fault_kind::wrong_echo},
    {"wrong_version", fault_kind::wrong_version},
    {"late_duplicate", fault_kind::late_duplicate},
    {"lying_load", fault_kind::lying_load},
    {"busy", fault_kind::busy},
    {"drain", fault_kind::drain},
}};

} // namespace

std::optional<fault_kind> to_fault_kind(std::string_view name)
{
    const auto* const found =
        std::ranges::find(kinds, name, &named_kind::first);
    if (found == kinds.end())
    {
        return std::nullopt;
    }
    return found->second;
}

} // namespace basilpath::standin
