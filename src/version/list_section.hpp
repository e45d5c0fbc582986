/// What the target list and the host list have in common: a revision and
/// sections that are all read or none.
#pragma once

#include "version/document_parser.hpp"
#include "version/ini_section.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// Reads one section and adds its faults; false when the section is unknown.
using section_reader =
    std::function<bool(const ini_section&, std::vector<document_fault>&)>;

/// Reads a list whose section `[NAME]` holds its `revision` and whose other
/// sections `read` knows. Returns whether there was no fault; else the first
/// fault is in `*reason`.
[[nodiscard]] bool read_list(std::string_view bytes, std::string_view name,
                             std::uint64_t* revision,
                             const section_reader& read, std::string* reason);

} // namespace basilpath
