/// One value of the platform as an agent holds it.
#pragma once

#include "version/value_sections.hpp"

#include <string>
#include <vector>

namespace basilpath
{

/// Immutable; shared by all who use it until the last has let go.
struct held_value
{
    std::string bytes;

    /// Number that the bytes give themselves; larger is newer.
    std::uint64_t number = 0;

    /// Digest of the bytes.
    std::uint64_t digest = 0;

    /// Views of `bytes`, in order.
    std::vector<value_section> sections;
};

} // namespace basilpath
