/// Rendezvous (highest random weight) hashing.
#pragma once

#include <cstdint>
#include <string_view>

namespace basilpath
{

/// Returns the hash of a key and a node, which is the same on every host and in
/// every release.
[[nodiscard]] std::uint64_t rendezvous_hash(std::string_view key,
                                            std::string_view node);

} // namespace basilpath
