#include "version/rendezvous.hpp"

#include <xxhash.h>

namespace basilpath
{

std::uint64_t rendezvous_hash(std::string_view key, std::string_view node)
{
    const auto seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), seed);
}

} // namespace basilpath
