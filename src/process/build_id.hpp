/// The identity of the program that runs.
#pragma once

#include <string>

namespace basilpath
{

/// Returns the build id that the linker has put into the program, in
/// hexadecimal, as `readelf -n` shows it; empty when there is none.
[[nodiscard]] std::string build_id();

} // namespace basilpath
