#include "process/ctl_command.hpp"

#include "process/burn_page.hpp"
#include "process/burn_report.hpp"
#include "process/ctl_document.hpp"
#include "process/ctl_hosts.hpp"
#include "process/file.hpp"
#include "process/host_fetch.hpp"
#include "process/log_line.hpp"
#include "process/request_timeline.hpp"
#include "version/ip_address.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <fstream>
#include <iostream>
#include <optional>

namespace basilpath
{

namespace
{

constexpr std::size_t request_name_limit = 128;

// Logs that one command reads: one a host of a large deployment.
constexpr std::size_t most_logs = 10'000;

// Reads a document file, or says why it cannot be read.
std::optional<document_file> read_document(const std::string& name,
                                           ctl_result& failure)
{
    auto bytes = read_file(name);
    if (!bytes)
    {
        failure = {ctl_exit::unusable,
                   fmt::format("{}: cannot be read\n", name)};
        return std::nullopt;
    }
    return document_file{name, std::move(*bytes)};
}

ctl_result run_check(const ctl_arguments& arguments)
{
    ctl_result failure;
    const auto file = read_document(arguments.words[1], failure);
    return file ? check_document(*file, arguments.format) : failure;
}

ctl_result run_diff(const ctl_arguments& arguments)
{
    ctl_result failure;
    const auto from = read_document(arguments.words[1], failure);
    const auto to = read_document(arguments.words[2], failure);
    return from && to ? diff_documents(*from, *to, arguments.format) : failure;
}

ctl_result run_show(const ctl_arguments& arguments)
{
    ctl_result failure;
    const auto file = read_document(arguments.words[1], failure);
    return file ? show_document(*file, arguments.format) : failure;
}

ctl_result run_status(const ctl_arguments& arguments)
{
    return report_status(
        fetch_from_hosts(arguments.hosts, "/v1/status", arguments.timeout),
        arguments.format);
}

// Reads a log, `-` for standard input, into a story. False when it cannot be
// read.
bool read_log(const std::string& name, request_timeline& timeline)
{
    std::ifstream file;
    if (name != "-")
    {
        file.open(name);
    }
    std::istream& stream = name == "-" ? std::cin : file;
    if (!stream)
    {
        return false;
    }
    for (std::string text; std::getline(stream, text);)
    {
        if (const auto line = log_line::parse(text))
        {
            timeline.add(name, *line);
        }
    }
    return !stream.bad();
}

// Explains a request from the logs that the words after its name tell.
ctl_result explain_from_logs(const ctl_arguments& arguments)
{
    request_timeline timeline(arguments.words[1]);
    for (std::size_t i = 2; i < arguments.words.size(); ++i)
    {
        if (!read_log(arguments.words[i], timeline))
        {
            return {ctl_exit::unusable,
                    fmt::format("{}: cannot be read\n", arguments.words[i])};
        }
    }
    return report_timeline(arguments.words[1], timeline, arguments.format);
}

ctl_result run_explain(const ctl_arguments& arguments)
{
    const std::string& request = arguments.words[1];
    const auto allowed = [](char c)
    {
        return (std::isalnum(static_cast<unsigned char>(c)) != 0) || c == '-' ||
               c == '_' || c == '.';
    };
    if (request.size() > request_name_limit ||
        !std::ranges::all_of(request, allowed))
    {
        return {ctl_exit::unusable,
                "a request's name is letters, digits, '-', '_' and '.'\n"};
    }
    if (arguments.words.size() > 2)
    {
        return explain_from_logs(arguments);
    }
    if (arguments.hosts.empty())
    {
        return {ctl_exit::unusable,
                "--hosts=IP:PORT,... or the files of logs are missing\n"};
    }
    return report_explain(request,
                          fetch_from_hosts(arguments.hosts,
                                           "/v1/explain/" + request,
                                           arguments.timeout),
                          arguments.format);
}

ctl_result run_drain(const ctl_arguments& arguments)
{
    const std::string& address = arguments.words[1];
    if (!is_address(address))
    {
        return {ctl_exit::unusable,
                fmt::format("{} is not IP:PORT with a numeric IP\n", address)};
    }
    std::vector<std::string> hosts = arguments.hosts;
    if (std::ranges::find(hosts, address) == hosts.end())
    {
        hosts.push_back(address);
    }
    return report_drain(
        address, fetch_from_hosts(hosts, "/v1/status", arguments.timeout),
        arguments.format);
}

ctl_result run_burn(const ctl_arguments& arguments)
{
    const auto replies =
        fetch_from_hosts(arguments.hosts, "/v1/burn", arguments.timeout);
    if (!arguments.page.empty())
    {
        std::ofstream page(arguments.page, std::ios::binary);
        page << burn_to_page(read_burn_report(replies)) << std::flush;
        if (!page)
        {
            return {ctl_exit::unusable,
                    fmt::format("{}: cannot be written\n", arguments.page)};
        }
    }
    return report_burn(replies, arguments.format);
}

constexpr std::array<ctl_command, 7> commands = {
    {{"check", "FILE", "Lists all faults of a document, with their lines.", 1,
      1, false, run_check},
     {"diff", "FROM TO",
      "Lists what changes from one document to another, by meaning: for which "
      "service,\nwhat, and what that does.",
      2, 2, false, run_diff},
     {"show", "FILE", "Lists the services, versions and classes of a document.",
      1, 1, false, run_show},
     {"status", "--hosts=IP:PORT,...",
      "Shows what every host has in force, whether hosts differ, and what they "
      "hold for\nleaving, dead or quarantined.",
      0, 0, true, run_status},
     {"explain", "REQUEST --hosts=IP:PORT,... | REQUEST LOG...",
      "Lists what happened to one request, by its name or the name its caller "
      "gave it.\nFrom the logs of basilpath-node, '-' for standard input, it "
      "also says why.",
      1, most_logs + 1, false, run_explain},
     {"drain", "IP:PORT --hosts=IP:PORT,...",
      "Shows how far a host that was told to leave (SIGTERM) has drained. Exit "
      "code 0 once\nit is gone or drains without a request in progress.",
      1, 1, true, run_drain},
     {"burn", "--hosts=IP:PORT,... [--page=FILE]",
      "Shows the service-level burn of every class over all hosts; --page also "
      "writes it\nas one HTML page.",
      0, 0, true, run_burn}}};

constexpr std::string_view common_help =
    "\nFlags: --json writes one JSON object, --timeout_ms=N waits so long for "
    "each host.\nExit codes: 0 nothing is wrong; 1 the command line or a file "
    "cannot be used;\n2 something is wrong or differs; 3 some hosts are lost; "
    "4 no host answered.\n";

// Says what is wrong with the arguments of a command; empty when nothing is.
std::string fault_of(const ctl_command& command, const ctl_arguments& arguments)
{
    const std::size_t words = arguments.words.size() - 1;
    if (words < command.least_words || words > command.most_words)
    {
        return fmt::format("usage: basilpathctl {} {}\n", command.name,
                           command.usage);
    }
    if (command.asks_hosts && arguments.hosts.empty())
    {
        return "--hosts=IP:PORT,... is missing\n";
    }
    for (const std::string& host : arguments.hosts)
    {
        if (!is_address(host))
        {
            return fmt::format("--hosts: {} is not IP:PORT with a numeric IP\n",
                               host);
        }
    }
    return "";
}

} // namespace

std::span<const ctl_command> ctl_commands()
{
    return commands;
}

std::string ctl_help(std::string_view name)
{
    const auto found = std::ranges::find(commands, name, &ctl_command::name);
    if (found != commands.end())
    {
        return fmt::format("usage: basilpathctl {} {}\n\n{}\n{}", found->name,
                           found->usage, found->help, common_help);
    }
    std::string text =
        "usage: basilpathctl COMMAND ...; basilpathctl COMMAND --help\n\n";
    for (const ctl_command& command : commands)
    {
        text += fmt::format("  {:<8} {}\n", command.name, command.usage);
    }
    return text + std::string(common_help);
}

ctl_result run_ctl(ctl_arguments arguments)
{
    if (arguments.words.empty())
    {
        return {ctl_exit::unusable, ctl_help("")};
    }
    const std::string& name = arguments.words.front();
    const auto found = std::ranges::find(commands, name, &ctl_command::name);
    if (found == commands.end())
    {
        return {ctl_exit::unusable, fmt::format("there is no command {}\n\n{}",
                                                name, ctl_help(""))};
    }
    if (std::string fault = fault_of(*found, arguments); !fault.empty())
    {
        return {ctl_exit::unusable, std::move(fault)};
    }
    return found->run(arguments);
}

} // namespace basilpath
