/// Where the leaves listen and which of them are leaving, as published by the
/// platform apart from the document, so that the same document serves in every
/// environment.
#pragma once

#include "version/ids.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace basilpath
{

/// One line of the target list.
struct target_entry
{
    http_address address;
    bool leaving = false;
};

/// One revision of the target list. INI: section `[targets]` with `revision`,
/// section `[leaves]` with a line `LEAF = IP:PORT live|leaving` for each leaf.
struct target_list
{
    std::uint64_t revision = 0;
    std::map<leaf_id, target_entry> entries;
};

/// Parses a target list; null with a reason in `*reason` on any fault.
[[nodiscard]] std::shared_ptr<const target_list>
parse_target_list(std::string_view bytes, std::string* reason);

} // namespace basilpath
