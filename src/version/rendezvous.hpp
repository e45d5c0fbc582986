/// Ranking of hosts that all compute alike.
#pragma once

#include <cstdint>
#include <string_view>

namespace basilpath
{

/// Hash of two texts, the same on every host and in every release.
[[nodiscard]] std::uint64_t rendezvous_hash(std::string_view key,
                                            std::string_view node);

} // namespace basilpath
