/// basilpath-standin: simulates the platform and all targets for demos, tests
/// and experiments on one machine.
#include "connection/http_server.hpp"
#include "process/log.hpp"
#include "standin/control_service.hpp"
#include "standin/leaf_group.hpp"
#include "standin/platform_service.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

DEFINE_string(document, "", "path of the configuration document");
DEFINE_string(hosts, "", "path of the host list");
DEFINE_string(platform, "127.0.0.1:0",
              "ip:port of the platform and control service");
DEFINE_uint32(leaf_port, 0, "port of all leaves; 0 selects a free one");
DEFINE_bool(leaves, true, "whether the leaves listen");
DEFINE_uint64(seed, 1, "seed of service times and random faults");
DEFINE_double(service_ms, 4.0, "median service time in milliseconds");
DEFINE_double(sigma, 0.4, "sigma of the log-normal service time");
DEFINE_uint32(queue, 16, "limit of the queue of a leaf; more are shed");
DEFINE_uint32(cold_requests, 20, "cold requests after a start of a leaf");
DEFINE_double(cold_factor, 3.0, "service time factor of the first of them");
DEFINE_uint32(restart_ms, 1000, "downtime of a crashed leaf in ms");
DEFINE_uint32(switch_spread_ms, 0, "maximum delay of a new version in ms");
DEFINE_uint32(version_keep_ms, 5000,
              "time for which an old version is held, in ms");
DEFINE_uint32(report_lag_ms, 500, "maximum age of load reports in ms");
DEFINE_string(log, "warning", "lowest log level: debug, info, warning, error");

namespace
{

using namespace basilpath;
using namespace basilpath::standin;

constexpr std::size_t request_limit_bytes = 2U << 20U;

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    if (!file)
    {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

leaf_options options_of_flags()
{
    leaf_options options;
    options.seed = FLAGS_seed;
    options.service_time =
        std::chrono::duration<double, std::milli>(FLAGS_service_ms);
    options.sigma = FLAGS_sigma;
    options.queue_limit = FLAGS_queue;
    options.cold_requests = FLAGS_cold_requests;
    options.cold_factor = FLAGS_cold_factor;
    options.restart_time = std::chrono::milliseconds(FLAGS_restart_ms);
    options.switch_spread = std::chrono::milliseconds(FLAGS_switch_spread_ms);
    options.version_keep = std::chrono::milliseconds(FLAGS_version_keep_ms);
    options.report_lag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    return options;
}

// Publishes the files named by the flags. Returns an error message, if any.
std::optional<std::string> publish_files(control_service& control)
{
    const auto document = read_file(FLAGS_document);
    if (!document)
    {
        return "cannot read --document " + FLAGS_document;
    }
    const std::string reason = control.set_value("document", *document);
    if (!reason.empty())
    {
        return FLAGS_document + ": " + reason;
    }
    if (!FLAGS_hosts.empty())
    {
        const auto hosts = read_file(FLAGS_hosts);
        if (!hosts)
        {
            return "cannot read --hosts " + FLAGS_hosts;
        }
        control.set_value("hosts", *hosts);
    }
    return std::nullopt;
}

// Serves until SIGINT or SIGTERM. Returns the exit code.
int run()
{
    boost::asio::io_context context(1);
    leaf_group leaves(context, options_of_flags(),
                      static_cast<std::uint16_t>(FLAGS_leaf_port),
                      FLAGS_leaves);
    platform_service platform(context);
    control_service control(leaves, platform);
    if (const auto wrong = publish_files(control))
    {
        log_event(log_level::error, "start_failed", {{"reason", *wrong}});
        return 1;
    }
    const auto serve = [&](const std::shared_ptr<http_exchange>& exchange)
    {
        exchange->path.starts_with("/standin/") ? control.serve(exchange)
                                                : platform.serve(exchange);
    };
    http_server server(
        context,
        {.address = FLAGS_platform, .request_limit_bytes = request_limit_bytes},
        serve);
    fmt::print("platform={}:{} leaves={}\n",
               FLAGS_platform.substr(0, FLAGS_platform.rfind(':')),
               server.port(), leaves.port());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code&, int)
                       { context.stop(); });
    context.run();
    std::fflush(stderr);

    // Skips pending responses: the processes waiting for them stop as well.
    std::_Exit(0);
}

} // namespace

int main(int count, char** arguments)
{
    gflags::SetUsageMessage("simulates the platform and all targets");
    gflags::ParseCommandLineFlags(&count, &arguments, true);
    set_log_program("standin");
    set_log_level(to_log_level(FLAGS_log).value_or(log_level::warning));
    try
    {
        return run();
    }
    catch (const std::exception& failed)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", failed.what()}});
        return 1;
    }
}
