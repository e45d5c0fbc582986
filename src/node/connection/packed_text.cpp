#include "node/connection/packed_text.hpp"

#include <zlib.h>

#include <stdexcept>

namespace basilpath
{

namespace
{

// A message states the size of its text before that is allocated.
constexpr std::size_t max_text_bytes = 16'000'000;

const Bytef* to_bytes(std::string_view text)
{
    return reinterpret_cast<const Bytef*>(text.data());
}

Bytef* to_bytes(std::string& text)
{
    return reinterpret_cast<Bytef*>(text.data());
}

} // namespace

std::string pack_text(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string packed(size, '\0');
    // Many hosts wait for the first one to pack a change.
    const int result = compress2(to_bytes(packed), &size, to_bytes(text),
                                 text.size(), Z_BEST_SPEED);
    if (result != Z_OK)
    {
        throw std::runtime_error("zlib: " + std::to_string(result));
    }
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpack_text(std::string_view packed,
                                       std::size_t size)
{
    if (size > max_text_bytes)
    {
        return std::nullopt;
    }
    std::string text(size, '\0');
    uLongf written = size;
    const int result =
        uncompress(to_bytes(text), &written, to_bytes(packed), packed.size());
    if (result != Z_OK || written != size)
    {
        return std::nullopt;
    }
    return text;
}

} // namespace basilpath
