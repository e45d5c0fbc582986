/// JSON as the commands of basilpathctl write it.
#pragma once

#include "version/ids.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace basilpath
{

/// Writes a value indented, with a newline at its end. Bytes that are not
/// UTF-8 are replaced.
[[nodiscard]] std::string to_json_line(const nlohmann::json& value);

/// Writes a digest as 16 hexadecimal digits.
[[nodiscard]] std::string format_digest(document_digest digest);

} // namespace basilpath
