/// basilpath-agent: reads the platform and tells the processes of its host
/// what is in force.
#include "connection/http_client.hpp"
#include "connection/peer_hub.hpp"
#include "connection/platform_client.hpp"
#include "process/local_feed.hpp"
#include "process/log.hpp"
#include "process/settings.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <map>
#include <random>

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

constexpr std::chrono::milliseconds watch_time = 10s;
constexpr std::chrono::milliseconds retry_interval = 500ms;

/// Settings of the agent.
struct agent_settings
{
    std::string host;
    std::string region;
    std::string domain;
    std::string listen = "127.0.0.1:0";
    std::string platform;
    std::string level = "info";
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

/// Watches the platform's values and feeds the processes of the host.
class agent
{
public:
    agent(boost::asio::io_context& context, const agent_settings& settings)
        : context(context), http(context), platform(http, settings.platform),
          hub(context, peer_address(settings.listen),
              incarnation(std::random_device{}()),
              [this](const peer_address& from, incarnation,
                     const wire::Envelope& message)
              { this->receive(from, message); })
    {
    }

    void start()
    {
        log_event(log_level::info, "started",
                  {{"peer", this->hub.address().value}});
        for (const char* name : {"document", "targets", "hosts"})
        {
            boost::asio::co_spawn(this->context, this->watch(name),
                                  boost::asio::detached);
        }
    }

private:
    // Watches one value for as long as the process lives.
    boost::asio::awaitable<void> watch(std::string name)
    {
        boost::asio::steady_timer timer(this->context);
        std::optional<std::uint64_t> revision;
        while (true)
        {
            platform_reply reply =
                co_await this->platform.read(name, revision, watch_time);
            if (reply.content)
            {
                revision = reply.content->revision;
                this->values[name] = std::move(reply.content->bytes);
                this->publish();
            }
            else if (!reply.unchanged)
            {
                log_event(log_level::warning, "platform_failed",
                          {{"value", name}, {"reason", reply.reason}});
                timer.expires_after(retry_interval);
                co_await timer.async_wait(
                    boost::asio::as_tuple(boost::asio::use_awaitable));
            }
        }
    }

    // Sends the processes of the host what has changed.
    void publish()
    {
        wire::State state;
        state.set_document(this->values["document"]);
        state.set_targets(this->values["targets"]);
        state.set_hosts(this->values["hosts"]);
        for (const auto& [name, bytes] : this->values)
        {
            wire::ValueDigest& one = *state.add_values();
            one.set_name(name);
            one.set_digest(content_digest(bytes));
        }
        this->feed.set_state(std::move(state));
        for (feed_message& one : this->feed.changes(this->now()))
        {
            this->send(one.to, std::move(one.state));
        }
    }

    void receive(const peer_address& from, const wire::Envelope& message)
    {
        if (message.has_subscribe())
        {
            auto answer =
                this->feed.subscribe(from, message.subscribe(), this->now());
            if (answer)
            {
                this->send(from, std::move(*answer));
            }
        }
    }

    void send(const peer_address& to, wire::State state)
    {
        wire::Envelope envelope;
        *envelope.mutable_state() = std::move(state);
        this->hub.send(to, std::move(envelope));
    }

    [[nodiscard]] static local_feed::time_point now()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now().time_since_epoch());
    }

    boost::asio::io_context& context;
    http_client http;
    platform_client platform;
    local_feed feed;
    std::map<std::string, std::string> values;
    peer_hub hub;
};

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
    set_log_level(*to_log_level(settings.level));
    if (FLAGS_check)
    {
        return EXIT_SUCCESS;
    }
    try
    {
        boost::asio::io_context context(1);
        agent process(context, settings);
        process.start();
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](auto, int) { context.stop(); });
        context.run();
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
