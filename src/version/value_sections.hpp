/// Cutting a value into sections that are named by their content, so that a
/// change of the value moves only the sections that it touches.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace basilpath
{

/// One section: whole lines of a value, named by their digest.
struct value_section
{
    std::uint64_t digest = 0;
    std::string_view bytes;
};

/// Most bytes in one section.
inline constexpr std::size_t section_limit_bytes = 8192;

/// Cuts `bytes` into sections that view it, in order. A cut falls before a
/// line whose own content asks for one, so that lines put in or taken out move
/// no other cut.
[[nodiscard]] std::vector<value_section> cut_sections(std::string_view bytes);

/// Digest of some bytes (64-bit XXH3).
[[nodiscard]] std::uint64_t content_digest(std::string_view bytes);

} // namespace basilpath
