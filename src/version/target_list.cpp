#include "version/target_list.hpp"

#include "version/ip_address.hpp"
#include "version/key_table.hpp"
#include "version/list_section.hpp"

#include <fmt/format.h>

namespace basilpath
{

namespace
{

// Reads one line `LEAF = IP:PORT live|leaving`.
void read_target(const ini_line& line, target_list& list,
                 std::vector<document_fault>& faults)
{
    const auto words = split_words(line.value);
    if (!is_identifier(line.key) || words.size() != 2 ||
        !is_address(words.front()) ||
        (words.back() != "live" && words.back() != "leaving"))
    {
        faults.push_back(
            {line.line, fmt::format("{}={} is not accepted; it takes LEAF = "
                                    "IP:PORT live|leaving",
                                    line.key, line.value)});
        return;
    }
    const target_entry entry{http_address(std::string(words.front())),
                             words.back() == "leaving"};
    if (!list.entries.try_emplace(leaf_id(line.key), entry).second)
    {
        faults.push_back(
            {line.line, fmt::format("leaf {} is given twice", line.key)});
    }
}

} // namespace

std::shared_ptr<const target_list> parse_target_list(std::string_view bytes,
                                                     std::string* reason)
{
    auto list = std::make_shared<target_list>();
    const auto read =
        [&](const ini_section& section, std::vector<document_fault>& faults)
    {
        if (section.kind != "leaves" || !section.name.empty())
        {
            return false;
        }
        for (const ini_line& line : section.lines)
        {
            read_target(line, *list, faults);
        }
        return true;
    };
    const bool good =
        read_list(bytes, "targets", &list->revision, read, reason);
    return good ? list : nullptr;
}

} // namespace basilpath
