#include "process/ctl_hosts.hpp"
#include "process/ctl_json.hpp"
#include "process/host_fetch.hpp"
#include "process/host_status.hpp"
#include "process/text_table.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace basilpath
{

namespace
{

using nlohmann::json;

constexpr int status_good = 200;

/// One host with its status, or why there is none.
struct asked_host
{
    std::string address;
    std::optional<host_status> status;
    std::string lost;
};

// Reads the replies; what cannot be read counts as lost.
std::vector<asked_host> read_replies(const std::vector<host_reply>& replies)
{
    std::vector<asked_host> hosts;
    for (const host_reply& reply : replies)
    {
        asked_host one{reply.address, std::nullopt, reply.lost};
        if (one.lost.empty() && reply.status != status_good)
        {
            one.lost = fmt::format("status {}", reply.status);
        }
        if (one.lost.empty())
        {
            one.status =
                host_status_from_json(json::parse(reply.body, nullptr, false));
            one.lost = one.status ? "" : "its answer cannot be read";
        }
        hosts.push_back(std::move(one));
    }
    return hosts;
}

// Lists what differs between hosts, one sentence each.
std::vector<std::string> find_differences(const std::vector<asked_host>& hosts)
{
    std::set<document_number> numbers;
    std::set<document_digest> digests;
    std::set<std::string> deployments;
    std::set<std::uint64_t> targets;
    std::set<std::uint64_t> lists;
    for (const asked_host& one : hosts)
    {
        if (one.status)
        {
            numbers.insert(one.status->document);
            digests.insert(one.status->digest);
            deployments.insert(one.status->deployment);
            targets.insert(one.status->targets_revision);
            lists.insert(one.status->hosts_revision);
        }
    }
    std::vector<std::string> found;
    const auto note = [&found](bool differs, const char* sentence)
    {
        if (differs)
        {
            found.emplace_back(sentence);
        }
    };
    note(deployments.size() > 1, "hosts have different deployments in force");
    note(numbers.size() > 1, "hosts have different versions in force");
    note(digests.size() > numbers.size(),
         "hosts have other bytes of one version in force; publish a higher "
         "version");
    note(targets.size() > 1, "hosts know different target lists");
    note(lists.size() > 1, "hosts know different host lists");
    note(numbers.contains(document_number(0)),
         "a host has no configuration in force");
    return found;
}

std::string join(const std::vector<std::string>& names)
{
    return names.empty() ? "-" : fmt::format("{}", fmt::join(names, " "));
}

std::string seconds_text(milliseconds time)
{
    return fmt::format("{:.1f} s", static_cast<double>(time.count()) / 1e3);
}

std::string state_of(const host_status& status)
{
    return status.draining ? "draining" : "serving";
}

// The table of what each host has in force.
std::string hosts_text(const std::vector<asked_host>& hosts)
{
    text_table table({"address", "host", "state", "up", "in flight",
                      "deployment", "version", "digest", "in force for",
                      "targets", "hosts"});
    for (const asked_host& one : hosts)
    {
        if (!one.status)
        {
            table.add({one.address, "-", "lost: " + one.lost, "-", "-", "-",
                       "-", "-", "-", "-", "-"});
            continue;
        }
        const host_status& status = *one.status;
        table.add(
            {one.address, status.host, state_of(status),
             seconds_text(status.uptime), fmt::to_string(status.in_flight),
             status.deployment, fmt::to_string(status.document.value),
             format_digest(status.digest), seconds_text(status.document_age),
             fmt::to_string(status.targets_revision),
             fmt::to_string(status.hosts_revision)});
    }
    return table.format();
}

// The table of what each host holds for leaving, dead or quarantined, and its
// other figures.
std::string views_text(const std::vector<asked_host>& hosts)
{
    text_table table({"host", "leaving hosts", "dead hosts", "leaving leaves",
                      "quarantines", "figures"});
    for (const asked_host& one : hosts)
    {
        if (!one.status)
        {
            continue;
        }
        std::vector<std::string> figures;
        for (const auto& [name, value] : one.status->figures)
        {
            figures.push_back(fmt::format("{}={}", name, value));
        }
        table.add({one.status->host, join(one.status->leaving_hosts),
                   join(one.status->dead_hosts),
                   join(one.status->leaving_leaves),
                   join(one.status->quarantines), join(figures)});
    }
    return table.format();
}

json hosts_json(const std::vector<asked_host>& hosts)
{
    json list = json::array();
    for (const asked_host& one : hosts)
    {
        list.push_back(
            {{"address", one.address},
             {"lost", one.lost},
             {"status", one.status ? to_json(*one.status) : json(nullptr)}});
    }
    return list;
}

// Counts as lost what could not be read, too.
ctl_exit exit_of(const std::vector<asked_host>& hosts, ctl_exit otherwise)
{
    const auto lost = std::ranges::count_if(hosts, [](const asked_host& one)
                                            { return !one.status; });
    if (lost == std::ssize(hosts))
    {
        return ctl_exit::none_reached;
    }
    return lost > 0 ? ctl_exit::some_lost : otherwise;
}

} // namespace

ctl_result report_status(const std::vector<host_reply>& replies,
                         ctl_format format)
{
    const auto hosts = read_replies(replies);
    const auto differences = find_differences(hosts);
    const ctl_exit code = exit_of(
        hosts, differences.empty() ? ctl_exit::good : ctl_exit::finding);
    if (format == ctl_format::json)
    {
        return {code, to_json_line({{"hosts", hosts_json(hosts)},
                                    {"differences", differences}})};
    }
    std::string text =
        fmt::format("{}\n{}", hosts_text(hosts), views_text(hosts));
    for (const std::string& sentence : differences)
    {
        text += fmt::format("\n{}\n", sentence);
    }
    return {code, std::move(text)};
}

ctl_result report_drain(const std::string& address,
                        const std::vector<host_reply>& replies,
                        ctl_format format)
{
    const auto hosts = read_replies(replies);
    const auto own = std::ranges::find(hosts, address, &asked_host::address);
    const bool answers = own != hosts.end() && own->status.has_value();
    const host_status status =
        answers ? own->status.value_or(host_status()) : host_status();
    const auto known = std::ranges::count_if(
        hosts,
        [&](const asked_host& one)
        {
            return one.status &&
                   std::ranges::find(one.status->leaving_hosts, status.host) !=
                       one.status->leaving_hosts.end();
        });
    const std::string state = answers ? state_of(status) : "not answering";
    const bool done = !answers || (status.draining && status.in_flight == 0);
    const bool reached =
        exit_of(hosts, ctl_exit::good) != ctl_exit::none_reached;
    const ctl_exit code = !reached ? ctl_exit::none_reached
                          : done   ? ctl_exit::good
                                   : ctl_exit::finding;
    if (format == ctl_format::json)
    {
        return {code, to_json_line({{"address", address},
                                    {"state", state},
                                    {"in_flight", status.in_flight},
                                    {"known_to_be_leaving_by", known}})};
    }
    return {code, fmt::format("{} is {}, {} requests in progress, known to be "
                              "leaving by {} hosts\n",
                              address, state, status.in_flight, known)};
}

} // namespace basilpath
