/// What a command of basilpathctl has to say.
#pragma once

#include <string>

namespace basilpath
{

/// Exit codes of basilpathctl; docs/operate/basilpathctl.md lists them.
enum class ctl_exit : int
{
    good = 0,        ///< done, and nothing is wrong
    unusable = 1,    ///< the command line or a file cannot be used
    finding = 2,     ///< done, and something is wrong or differs
    some_lost = 3,   ///< done, but some hosts did not answer
    none_reached = 4 ///< no host answered
};

/// Text for standard output or, when the input cannot be used, for standard
/// error; and the exit code.
struct ctl_result
{
    ctl_exit code = ctl_exit::good;
    std::string text;
};

/// How a command writes its result.
enum class ctl_format : int
{
    text, ///< aligned text for people
    json  ///< one JSON object for scripts
};

} // namespace basilpath
