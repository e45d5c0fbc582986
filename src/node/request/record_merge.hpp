/// Merges the records of several shards.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

inline constexpr std::size_t record_bytes = 16;

/// Returns the greatest `max_records` records of all bodies, greatest first.
/// Records are compared byte by byte, and equal ones are all kept. Trailing
/// bytes of a body that make no whole record are ignored.
[[nodiscard]] std::string
merge_records(const std::vector<std::string_view>& bodies,
              std::size_t max_records);

/// Returns the lowest of `max_records` merged records. Empty when there are
/// fewer, as any further record may then be among the greatest.
[[nodiscard]] std::string_view lowest_if_full(std::string_view merged,
                                              std::size_t max_records);

/// Returns the merged records that are greater than `bound`.
[[nodiscard]] std::string records_above(std::string merged,
                                        std::string_view bound);

} // namespace basilpath
