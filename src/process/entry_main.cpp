/// basilpath-entry: serves callers.
#include "process/entry_server.hpp"
#include "process/entry_settings.hpp"
#include "process/program.hpp"

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

int main(int argc, char** argv)
{
    using namespace basilpath;
    gflags::SetUsageMessage("serves callers: --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = read_entry_settings(FLAGS_settings);
    if (!settings || FLAGS_check)
    {
        return settings ? exit_success : exit_bad_settings;
    }
    return run_program<entry_server>("entry", *settings);
}
