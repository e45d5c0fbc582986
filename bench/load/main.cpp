/// basilpath-load: generates open-loop load on the entry hosts, reports latency
/// and outcomes, and checks the answers.
#include "load/control_channel.hpp"
#include "load/entry_protocol.hpp"
#include "load/load_plan.hpp"
#include "load/load_run.hpp"
#include "load/run_report.hpp"
#include "load/standin_view.hpp"
#include "process/log.hpp"
#include "process/settings.hpp"
#include "version/document.hpp"
#include "version/target_list.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ranges>
#include <sstream>
#include <thread>

DEFINE_string(hosts, "", "entry hosts, ip:port,ip:port,...");
DEFINE_string(plan, "",
              "plan file (INI); if empty, the flags below define the plan");
DEFINE_string(service, "catalogue", "service of the one mix");
DEFINE_string(request_class, "browse", "class of the one mix");
DEFINE_double(rate, 100.0, "mean arrivals per second of the one mix");
DEFINE_uint32(deadline_ms, 170, "deadline of the one mix");
DEFINE_bool(execute, false, "whether the one mix is non-idempotent");
DEFINE_uint32(duration_ms, 5000, "length of the run");
DEFINE_uint32(warm_up_ms, 500, "initial time excluded from the figures");
DEFINE_uint64(seed, 0, "seed; 0 uses that of the plan");
DEFINE_double(rate_factor, 1.0, "multiplies all rates");
DEFINE_uint32(threads, 1, "event-loop threads");
DEFINE_uint32(callers, 4, "callers per thread, each with its own directory");
DEFINE_string(control, "", "ip:port of the stand-in's control interface");
DEFINE_bool(direct, false, "call the leaves, not the entry hosts");
DEFINE_string(results, "", "file to which the figures are written as JSON");
DEFINE_bool(show, false, "send one request, print the answer and exit");

namespace
{

using namespace basilpath;
using namespace basilpath::load;

constexpr int exit_success = 0;
constexpr int exit_violation = 1;
constexpr int exit_usage = 2;

// Lets the leaves finish work whose caller has already left.
constexpr std::chrono::milliseconds settle_time{700};

// Returns the bytes of a file, empty if it cannot be read.
std::string read_file(const std::string& name)
{
    std::ifstream file(name, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
    {
        parts.push_back(part);
    }
    return parts;
}

// Builds the plan that the flags describe.
load_plan plan_from_flags()
{
    load_plan plan;
    plan.duration = milliseconds(FLAGS_duration_ms);
    plan.warm_up = milliseconds(FLAGS_warm_up_ms);
    traffic_mix mix;
    mix.name = FLAGS_request_class;
    mix.service = service_name(FLAGS_service);
    mix.request_class = class_name(FLAGS_request_class);
    mix.rate = FLAGS_rate;
    mix.deadline = milliseconds(FLAGS_deadline_ms);
    mix.execute = FLAGS_execute;
    plan.mixes.push_back(std::move(mix));
    return plan;
}

// Returns the plan of the file or of the flags; nullopt if it is invalid.
std::optional<load_plan> choose_plan()
{
    std::string reason;
    auto plan = FLAGS_plan.empty()
                    ? std::optional(plan_from_flags())
                    : parse_load_plan(read_file(FLAGS_plan), &reason);
    if (!plan || plan->mixes.empty())
    {
        log_event(log_level::error, "plan_refused",
                  {{"file", FLAGS_plan}, {"reason", reason}});
        return std::nullopt;
    }
    plan->seed = FLAGS_seed == 0 ? plan->seed : FLAGS_seed;
    for (traffic_mix& mix : plan->mixes)
    {
        mix.rate *= FLAGS_rate_factor;
    }
    return plan;
}

// Sends one request of the first mix and prints the answer.
int show(const load_plan& plan, const std::string& host)
{
    const traffic_mix& mix = plan.mixes.front();
    control_channel channel(host);
    const auto directory =
        read_directory(channel.send("GET", "/v1/directory").body);
    const bool has_token = directory && !directory->tokens.empty();
    const http_request request = make_entry_request(
        host, mix,
        {"show-1", "show", has_token ? directory->tokens.front() : "",
         mix.deadline});
    const http_reply reply = channel.send(
        "POST", mix.execute ? "/v1/execute" : "/v1/query", request.body);
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    fmt::print("status={}\n{}\n", reply.status,
               json.is_discarded() ? reply.body : json.dump(2));
    return exit_success;
}

// Runs the plan. With a control address, clears the stand-in's records before
// the run and checks them afterwards.
run_report run(const load_plan& plan, const std::vector<std::string>& hosts)
{
    const caller_options options{hosts, FLAGS_callers};
    if (FLAGS_control.empty())
    {
        const run_record record = run_load(plan, options, FLAGS_threads, "");
        return make_report(plan, record, nullptr, nullptr);
    }
    control_channel channel(FLAGS_control);
    const auto before = read_published_document(channel);
    if (!before || !reset_records(channel))
    {
        log_event(log_level::error, "standin_silent",
                  {{"control", FLAGS_control}});
        std::exit(exit_usage);
    }
    const auto targets = read_published_targets(channel);
    const run_record record =
        FLAGS_direct && targets
            ? run_direct(plan, *before, *targets, FLAGS_threads, FLAGS_control)
            : run_load(plan, options, FLAGS_threads, FLAGS_control);
    std::this_thread::sleep_for(settle_time);
    const auto seen = read_record(channel, record.start);
    const auto after = read_published_document(channel);
    const document configuration =
        with_earlier_versions(after ? *after : *before, *before);
    return make_report(plan, record, &configuration, seen ? &*seen : nullptr);
}

// Prints the report and writes it to the results file, if one is given.
int finish(const load_plan& plan, const run_report& report)
{
    fmt::print("{}", to_text(report));
    if (!FLAGS_results.empty())
    {
        nlohmann::json results = to_json(report);
        results["seed"] = plan.seed;
        std::ofstream(FLAGS_results) << results.dump(1) << '\n';
    }
    return report.violations.empty() ? exit_success : exit_violation;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("open-loop load on the entry hosts");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    set_log_program("basilpath-load");
    const std::vector<std::string> hosts = split(FLAGS_hosts);
    const auto is_valid_host = [](const std::string& host)
    {
        return is_address(host);
    };
    if (hosts.empty() || !std::ranges::all_of(hosts, is_valid_host))
    {
        log_event(log_level::error, "hosts_refused",
                  {{"hosts", FLAGS_hosts}, {"accepts", "IP:PORT,IP:PORT"}});
        return exit_usage;
    }
    const auto plan = choose_plan();
    if (!plan)
    {
        return exit_usage;
    }
    return FLAGS_show ? show(*plan, hosts.front())
                      : finish(*plan, run(*plan, hosts));
}
