#include "load/standin_view.hpp"

#include "version/document.hpp"
#include "version/document_parser.hpp"
#include "version/index_version.hpp"
#include "version/target_list.hpp"

#include <algorithm>
#include <iterator>

namespace basilpath::load
{

namespace
{

constexpr int http_ok = 200;

// Reads a platform value; nullopt if there is none.
std::optional<std::string> read_value(control_channel& channel,
                                      const std::string& name)
{
    const http_reply reply = channel.send("GET", "/v1/values/" + name);
    const std::size_t first_line = reply.body.find('\n');
    if (reply.status != http_ok || first_line == std::string::npos)
    {
        return std::nullopt;
    }
    return reply.body.substr(first_line + 1);
}

} // namespace

bool reset_records(control_channel& channel)
{
    return channel.send("POST", "/standin/reset", "{}").status == http_ok;
}

std::shared_ptr<const document>
read_published_document(control_channel& channel)
{
    const auto bytes = read_value(channel, "document");
    return bytes ? parse_document(*bytes).value : nullptr;
}

std::shared_ptr<const target_list>
read_published_targets(control_channel& channel)
{
    const auto bytes = read_value(channel, "targets");
    std::string reason;
    return bytes ? parse_target_list(*bytes, &reason) : nullptr;
}

std::optional<target_record> read_record(control_channel& channel,
                                         microseconds start)
{
    const http_reply reply = channel.send("GET", "/standin/record");
    return reply.status == http_ok ? read_target_record(reply.body, start)
                                   : std::nullopt;
}

document with_earlier_versions(const document& later, const document& earlier)
{
    document merged = later;
    for (auto& [name, one] : merged.services)
    {
        const service* const before = earlier.find_service(name);
        if (before == nullptr)
        {
            continue;
        }
        const auto is_earlier_only = [&one](const auto& version)
        {
            return std::ranges::find(one.versions, version->number,
                                     [](const auto& known) {
                                         return known->number;
                                     }) == one.versions.end();
        };
        std::vector<std::shared_ptr<const index_version>> earlier_only;
        std::ranges::copy_if(before->versions, std::back_inserter(earlier_only),
                             is_earlier_only);
        std::ranges::move(earlier_only, std::back_inserter(one.versions));
    }
    return merged;
}

} // namespace basilpath::load
