/// The subcommands of basilpathctl and their help.
#pragma once

#include "process/ctl_result.hpp"

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// What stood on the command line.
struct ctl_arguments
{
    std::vector<std::string> words;
    std::vector<std::string> hosts;
    std::chrono::milliseconds timeout{1'000};
    ctl_format format = ctl_format::text;

    /// File for the page of `burn`; empty for none.
    std::string page;
};

/// One subcommand.
struct ctl_command
{
    std::string_view name;

    /// What follows the name on the command line.
    std::string_view usage;
    std::string_view help;

    /// Fewest and most words after the name.
    std::size_t least_words;
    std::size_t most_words;

    /// Whether it asks the hosts of `--hosts`.
    bool asks_hosts;

    ctl_result (*run)(const ctl_arguments&);
};

/// All subcommands, in the order in which help lists them.
[[nodiscard]] std::span<const ctl_command> ctl_commands();

/// Help on all subcommands, or on the one of this name.
[[nodiscard]] std::string ctl_help(std::string_view name);

/// Runs the subcommand that the first word names, after checking that its
/// arguments are there.
[[nodiscard]] ctl_result run_ctl(ctl_arguments arguments);

} // namespace basilpath
