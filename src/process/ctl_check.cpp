#include "process/ctl_document.hpp"
#include "process/ctl_json.hpp"
#include "version/document_parser.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace basilpath
{

namespace
{

// Lists faults one a line, as compilers do.
std::string faults_text(const document_file& file,
                        const std::vector<document_fault>& faults)
{
    std::string text;
    for (const document_fault& fault : faults)
    {
        text +=
            fmt::format("{}:{}: {}\n", file.name, fault.line, fault.message);
    }
    return text + fmt::format("{}: {} faults\n", file.name, faults.size());
}

nlohmann::json faults_json(const document_file& file,
                           const std::vector<document_fault>& faults)
{
    nlohmann::json list = nlohmann::json::array();
    for (const document_fault& fault : faults)
    {
        list.push_back({{"line", fault.line}, {"message", fault.message}});
    }
    return {{"file", file.name}, {"good", false}, {"faults", std::move(list)}};
}

} // namespace

ctl_result check_document(const document_file& file, ctl_format format)
{
    const parsed_document parsed = parse_document(file.bytes);
    if (!parsed.value)
    {
        return {ctl_exit::finding,
                format == ctl_format::json
                    ? to_json_line(faults_json(file, parsed.faults))
                    : faults_text(file, parsed.faults)};
    }
    const document& one = *parsed.value;
    if (format == ctl_format::json)
    {
        return {ctl_exit::good,
                to_json_line({{"file", file.name},
                              {"good", true},
                              {"faults", nlohmann::json::array()},
                              {"deployment", one.deployment},
                              {"version", one.number.value},
                              {"digest", format_digest(one.digest)},
                              {"services", one.services.size()},
                              {"classes", one.classes.size()},
                              {"leaves", one.leaves.size()}})};
    }
    return {ctl_exit::good,
            fmt::format("{}: good: {} version {}, digest {}, {} services, {} "
                        "classes, {} leaves\n",
                        file.name, one.deployment, one.number.value,
                        format_digest(one.digest), one.services.size(),
                        one.classes.size(), one.leaves.size())};
}

} // namespace basilpath
