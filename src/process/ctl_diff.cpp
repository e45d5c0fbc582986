#include "process/ctl_document.hpp"
#include "process/ctl_json.hpp"
#include "process/text_table.hpp"
#include "version/document_diff.hpp"
#include "version/document_parser.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpath
{

namespace
{

nlohmann::json changes_json(const std::vector<document_change>& changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const document_change& one : changes)
    {
        list.push_back({{"service", one.service},
                        {"subject", one.subject},
                        {"before", one.before},
                        {"after", one.after},
                        {"effect", one.effect}});
    }
    return list;
}

std::string changes_text(const std::vector<document_change>& changes)
{
    if (changes.empty())
    {
        return "no change\n";
    }
    const auto or_dash = [](const std::string& text)
    {
        return text.empty() ? std::string("-") : text;
    };
    text_table table({"service", "what", "before", "after", "effect"});
    for (const document_change& one : changes)
    {
        table.add({or_dash(one.service), one.subject, or_dash(one.before),
                   or_dash(one.after), one.effect});
    }
    return table.format();
}

} // namespace

ctl_result diff_documents(const document_file& from, const document_file& to,
                          ctl_format format)
{
    const parsed_document before = parse_document(from.bytes);
    const parsed_document after = parse_document(to.bytes);
    for (const auto& [file, parsed] :
         {std::pair{&from, &before}, std::pair{&to, &after}})
    {
        if (!parsed->value)
        {
            return {ctl_exit::unusable,
                    fmt::format("{} has {} faults; see basilpathctl check\n",
                                file->name, parsed->faults.size())};
        }
    }
    const auto changes = diff_documents(*before.value, *after.value);
    return {changes.empty() ? ctl_exit::good : ctl_exit::finding,
            format == ctl_format::json
                ? to_json_line({{"from", from.name},
                                {"to", to.name},
                                {"changes", changes_json(changes)}})
                : changes_text(changes)};
}

} // namespace basilpath
