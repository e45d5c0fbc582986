/// Random numbers from the system, for secrets and incarnations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace basilpath
{

/// Returns bytes that cannot be guessed.
[[nodiscard]] std::string random_bytes(std::size_t count);

/// Returns a number that is not 0 and cannot be guessed.
[[nodiscard]] std::uint64_t random_number();

} // namespace basilpath
