/// basilpathctl: checks documents and shows operators what hosts do.
#include "process/ctl_command.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

DEFINE_string(hosts, "", "addresses of entry hosts, IP:PORT, by commas");
DEFINE_string(page, "", "file to which burn writes an HTML page");
DEFINE_bool(json, false, "write one JSON object");
DEFINE_int32(timeout_ms, 1000, "time to wait for each host");

namespace
{

using namespace basilpath;

constexpr int most_timeout_ms = 60'000;

// Tells whether help is wanted, and prints it, before gflags sees the line: its
// own help lists the flags of every library.
bool print_help(const std::vector<std::string_view>& words)
{
    bool wanted = false;
    std::string_view command;
    for (const std::string_view word : words)
    {
        wanted = wanted || word == "--help" || word == "-help" || word == "-h";
        if (command.empty() && !word.starts_with('-'))
        {
            command = word;
        }
    }
    if (wanted)
    {
        fmt::print("{}", ctl_help(command));
    }
    return wanted;
}

std::vector<std::string> split_at_commas(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    return parts;
}

// Writes the result where its kind belongs and returns the exit code.
int write_result(const ctl_result& result)
{
    std::FILE* const stream =
        result.code == ctl_exit::unusable ? stderr : stdout;
    const bool written = std::fwrite(result.text.data(), 1, result.text.size(),
                                     stream) == result.text.size() &&
                         std::fflush(stream) == 0;
    if (!written)
    {
        fmt::print(stderr, "the output could not be written\n");
        return static_cast<int>(ctl_exit::unusable);
    }
    return static_cast<int>(result.code);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (print_help({argv + 1, argv + argc}))
    {
        return static_cast<int>(ctl_exit::good);
    }
    gflags::SetUsageMessage("see basilpathctl --help");
    gflags::SetVersionString(BASILPATH_RELEASE);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    ctl_arguments arguments;
    arguments.words.assign(argv + 1, argv + argc);
    arguments.hosts = split_at_commas(FLAGS_hosts);
    arguments.format = FLAGS_json ? ctl_format::json : ctl_format::text;
    arguments.page = FLAGS_page;
    if (FLAGS_timeout_ms < 1 || FLAGS_timeout_ms > most_timeout_ms)
    {
        return write_result(
            {ctl_exit::unusable,
             fmt::format("--timeout_ms takes 1 to {}\n", most_timeout_ms)});
    }
    arguments.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    return write_result(run_ctl(std::move(arguments)));
}
