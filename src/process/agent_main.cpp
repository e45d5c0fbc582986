/// basilpath-agent: reads the platform and tells the processes of its host
/// what is in force.
#include "connection/http_client.hpp"
#include "connection/http_server.hpp"
#include "connection/peer_hub.hpp"
#include "connection/platform_client.hpp"
#include "process/agent.hpp"
#include "process/agent_metrics.hpp"
#include "process/log.hpp"
#include "process/settings.hpp"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <optional>
#include <random>
#include <ranges>
#include <sstream>

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

// Neighbours ask each other for signs of life themselves, so that the links
// need few heartbeats.
constexpr peer_hub_options link_options{3000ms, 6000ms, 10'000ms, 30'000ms};

/// Settings of the agent.
struct agent_settings
{
    std::string host;
    std::string region;
    std::string domain;
    std::string listen = "127.0.0.1:0";
    std::string platform;
    std::string level = "info";
    std::string seeds;
    std::string http;
    std::int64_t start_spread_ms = 200;
};

// Reads the settings file; false after every fault has been logged.
bool read_settings(const std::string& file, agent_settings& settings)
{
    settings_reader reader;
    reader.text("host.id", &settings.host);
    reader.text("host.region", &settings.region);
    reader.text("host.domain", &settings.domain);
    reader.address("peer.listen", &settings.listen, true);
    reader.address("platform.address", &settings.platform);
    reader.address("http.listen", &settings.http, true);
    reader.text("peer.seeds", &settings.seeds);
    reader.integer("platform.start_spread_ms", 0, 60'000,
                   &settings.start_spread_ms);
    reader.choice("log.level", {"debug", "info", "warning", "error"},
                  &settings.level);
    for (const char* name : {"host.id", "host.region", "host.domain",
                             "peer.listen", "platform.address"})
    {
        reader.require(name);
    }
    const auto faults = reader.read(file);
    for (const std::string& fault : faults)
    {
        log_event(log_level::error, "settings_fault", {{"fault", fault}});
    }
    return faults.empty();
}

// Splits a list of addresses at blanks.
std::vector<peer_address> split_addresses(const std::string& text)
{
    std::istringstream words(text);
    std::vector<peer_address> addresses;
    std::ranges::copy_if(
        std::views::istream<std::string>(words) |
            std::views::transform([](const std::string& word)
                                  { return peer_address(word); }),
        std::back_inserter(addresses),
        [](const peer_address& one) { return is_address(one.value); });
    return addresses;
}

// Two draws of the system's random numbers.
std::uint64_t random_number()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/// The agent with what it runs on.
class agent_process
{
public:
    agent_process(boost::asio::io_context& context,
                  const agent_settings& settings)
        : runtime(context, random_number()), http(context),
          platform(http, settings.platform), start(random_number()),
          hub(
              context, peer_address(settings.listen), this->start,
              [this](const peer_address& from, incarnation sender,
                     wire::Envelope message)
              { this->logic->receive(from, sender, std::move(message)); },
              link_options)
    {
        agent_options options;
        options.id = host_id(settings.host);
        options.start = this->start;
        options.seeds = split_addresses(settings.seeds);
        options.start_spread =
            std::chrono::milliseconds(settings.start_spread_ms);
        this->logic = std::make_shared<agent_type>(
            this->runtime, this->hub, this->platform, options,
            [](log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
            { log_event(level, event, fields); });
        this->logic->start();
        if (!settings.http.empty())
        {
            this->server.emplace(
                context, http_server_options{.address = settings.http},
                [this](const std::shared_ptr<http_exchange>& exchange)
                { this->serve(*exchange); });
        }
        log_event(log_level::info, "started",
                  {{"peer", this->hub.address().value},
                   {"incarnation", this->start.value}});
    }

    ~agent_process()
    {
        this->logic->stop();
    }

    // Writes the counters of the process to the log.
    void log_counters() const
    {
        const peer_traffic& traffic = this->hub.traffic();
        const gossip_counters& counters = this->logic->state().counters;
        log_event(log_level::info, "counters",
                  {{"messages_sent", traffic.messages_sent},
                   {"messages_received", traffic.messages_received},
                   {"bytes_sent", traffic.bytes_sent},
                   {"bytes_received", traffic.bytes_received},
                   {"dropped", traffic.dropped},
                   {"links", this->hub.links()},
                   {"neighbours", this->logic->neighbours()},
                   {"platform_calls", this->platform.calls()},
                   {"digests_sent", counters.digests_sent},
                   {"section_bytes", counters.section_bytes_received},
                   {"declared_dead", counters.declared_dead},
                   {"own_pauses", counters.own_pauses}});
    }

    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

private:
    // Answers health checks and metrics.
    void serve(http_exchange& exchange)
    {
        const bool ready = this->logic->state().ready;
        if (exchange.path == "/metrics")
        {
            const agent_figures figures{
                this->logic->neighbours(), this->logic->subscribers(),
                this->hub.links(), this->platform.calls()};
            exchange.reply({200,
                            this->metrics.expose(this->logic->state(),
                                                 this->hub.traffic(), figures),
                            std::string(metrics_registry::content_type),
                            {}});
        }
        else if (exchange.path == "/healthz")
        {
            exchange.reply({200, "ok\n", "text/plain", {}});
        }
        else if (exchange.path == "/readyz")
        {
            exchange.reply({ready ? 200 : 503,
                            ready ? "ready\n" : "not ready\n",
                            "text/plain",
                            {}});
        }
        else
        {
            exchange.reply({404, "no such path\n", "text/plain", {}});
        }
    }

    using agent_type = agent<real_runtime, peer_hub, platform_client>;

    real_runtime runtime;
    http_client http;
    platform_client platform;
    incarnation start;
    std::shared_ptr<agent_type> logic;
    peer_hub hub;
    agent_metrics metrics;
    std::optional<http_server> server;
};

// Writes the counters each time the process gets SIGUSR1.
void log_on_signal(boost::asio::signal_set& signals,
                   const agent_process& process)
{
    signals.async_wait(
        [&signals, &process](const auto& failed, int)
        {
            if (!failed)
            {
                process.log_counters();
                log_on_signal(signals, process);
            }
        });
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("watches the platform for the host's processes");
    gflags::SetVersionString(BASILPATH_RELEASE);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    set_log_program("agent");
    agent_settings settings;
    if (!read_settings(FLAGS_settings, settings))
    {
        return EXIT_FAILURE;
    }
    set_log_level(to_log_level(settings.level).value_or(log_level::info));
    if (FLAGS_check)
    {
        return EXIT_SUCCESS;
    }
    try
    {
        boost::asio::io_context context(1);
        const agent_process process(context, settings);
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](auto, int) { context.stop(); });
        boost::asio::signal_set counter_signals(context, SIGUSR1);
        log_on_signal(counter_signals, process);
        context.run();
        process.log_counters();
        log_event(log_level::info, "stopped", {});
    }
    catch (const std::exception& failure)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", failure.what()}});
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
