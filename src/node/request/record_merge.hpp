/// Merging the records of several shards.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// Bytes of one record.
inline constexpr std::size_t record_bytes = 16;

/// The greatest `most` records of all bodies, greatest first, compared byte by
/// byte; equal records all count. The rest of a body that is shorter than a
/// record is left out.
[[nodiscard]] std::string
merge_records(const std::vector<std::string_view>& bodies, std::size_t most);

/// The least of `most` merged records; empty when there are fewer, so that any
/// further one may be among the greatest.
[[nodiscard]] std::string_view least_of_full(std::string_view merged,
                                             std::size_t most);

/// The merged records that are greater than `bound`.
[[nodiscard]] std::string greater_records(std::string merged,
                                          std::string_view bound);

} // namespace basilpath
