#include "version/list_section.hpp"

#include "version/key_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace basilpath
{

namespace
{

constexpr std::uint64_t largest_revision =
    std::numeric_limits<std::int64_t>::max();

// Reads the section with the revision.
void read_revision(const ini_section& section, std::uint64_t* revision,
                   std::vector<document_fault>& faults)
{
    key_table keys;
    keys.integer("revision", 1, largest_revision,
                 [revision](std::uint64_t number) { *revision = number; });
    keys.require("revision");
    keys.read(section, faults);
}

} // namespace

bool read_list(std::string_view bytes, std::string_view name,
               std::uint64_t* revision, const section_reader& read,
               std::string* reason)
{
    const ini_text text = read_ini(bytes);
    std::vector<document_fault> faults;
    std::ranges::transform(text.faults, std::back_inserter(faults),
                           [](const ini_fault& fault) {
                               return document_fault{fault.line, fault.message};
                           });
    int heads = 0;
    for (const ini_section& section : group_sections(text))
    {
        if (section.kind == name && section.name.empty())
        {
            read_revision(section, revision, faults);
            ++heads;
        }
        else if (!read(section, faults))
        {
            faults.push_back({section.line, fmt::format("unknown section [{}]",
                                                        section.kind)});
        }
    }
    if (heads != 1)
    {
        faults.push_back({0, fmt::format("one section [{}] is wanted", name)});
    }
    if (faults.empty())
    {
        return true;
    }
    *reason =
        fmt::format("line {}: {}", faults.front().line, faults.front().message);
    return false;
}

} // namespace basilpath
