/// Reading whole files.
#pragma once

#include <optional>
#include <string>

namespace basilpath
{

/// Returns the content of a file; nothing when it cannot be read.
[[nodiscard]] std::optional<std::string> read_file(const std::string& name);

} // namespace basilpath
