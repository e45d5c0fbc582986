/// Compression of long texts in messages between hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace basilpath
{

/// Returns the text in the zlib format (RFC 1950).
[[nodiscard]] std::string pack_text(std::string_view text);

/// Returns the text; null if `packed` is not that of a text of `size` bytes, or
/// if `size` exceeds 16 MB.
[[nodiscard]] std::optional<std::string> unpack_text(std::string_view packed,
                                                     std::size_t size);

} // namespace basilpath
