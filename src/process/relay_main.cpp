/// basilpath-relay: calls the leaves that fall to this host.
#include "connection/http_server.hpp"
#include "connection/leaf_client.hpp"
#include "connection/peer_hub.hpp"
#include "process/log.hpp"
#include "process/relay.hpp"
#include "process/relay_metrics.hpp"
#include "process/relay_settings.hpp"
#include "process/state_subscription.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <stdexcept>

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace
{

using namespace basilpath;
using namespace std::chrono_literals;

using relay_process = relay<real_runtime, leaf_client, peer_hub>;

constexpr std::chrono::milliseconds shutdown_poll_interval = 20ms;
constexpr std::chrono::milliseconds shutdown_quiet_time = 500ms;

// Answers health checks and metrics.
void serve_http(const relay_process& self, const peer_hub& hub,
                relay_metrics& metrics, http_exchange& exchange)
{
    if (exchange.path == "/metrics")
    {
        const auto& shared = self.context;
        const relay_load load{self.in_progress(), shared.slots->waiting(),
                              shared.quarantines.size(shared.now())};
        exchange.reply(
            {200,
             metrics.expose(shared.counts, load, shared.leaves, hub.traffic()),
             std::string(metrics_registry::content_type),
             {}});
        return;
    }
    const bool ready = self.context.state && self.context.state->configuration;
    if (exchange.path == "/healthz")
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

// Waits for a signal, then until nothing has been in progress for a while.
boost::asio::awaitable<void> run_until_stopped(boost::asio::io_context& context,
                                               relay_process& self,
                                               const peer_hub& hub)
{
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    co_await signals.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
    log_event(log_level::info, "shutting_down",
              {{"in_progress", self.in_progress()}});
    self.shut_down();
    boost::asio::steady_timer timer(context);
    auto quiet_since = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - quiet_since < shutdown_quiet_time)
    {
        timer.expires_after(shutdown_poll_interval);
        co_await timer.async_wait(
            boost::asio::as_tuple(boost::asio::use_awaitable));
        if (self.in_progress() > 0 || hub.queued() > 0)
        {
            quiet_since = std::chrono::steady_clock::now();
        }
    }
    log_event(log_level::info, "stopped", {});
    context.stop();
}

// Builds the process from its settings and runs it.
void run(const relay_settings& settings)
{
    boost::asio::io_context context(1);
    std::random_device seed;
    real_runtime owner(context, (std::uint64_t{seed()} << 32U) | seed());
    relay_process* self = nullptr;
    state_subscription* states = nullptr;
    peer_hub hub(
        context, peer_address(settings.peer_listen),
        incarnation(owner.random()),
        [&](const peer_address& from, incarnation, wire::Envelope message)
        {
            if (message.has_state())
            {
                states->receive(message.state());
                return;
            }
            self->receive(from, std::move(message));
        });
    leaf_client transport(context);
    relay_process process(owner, transport, hub, settings.policy);
    state_subscription subscription(context, hub, peer_address(settings.agent),
                                    "relay");
    self = &process;
    states = &subscription;
    process.context.report_leaving =
        [&hub, agent = peer_address(settings.agent)](const leaf_id& leaf)
    {
        wire::Envelope message;
        message.mutable_soft()->add_leaving_leaves(leaf.value);
        hub.send(agent, std::move(message));
    };
    process.context.report_quarantine =
        [&hub, agent = peer_address(settings.agent)](const quarantine& found)
    {
        using std::chrono::ceil;
        wire::Envelope message;
        wire::Quarantine& told = *message.mutable_soft()->add_quarantines();
        told.set_fingerprint(found.request_fingerprint.value);
        told.set_remaining_ms(static_cast<std::uint32_t>(
            ceil<std::chrono::milliseconds>(found.remaining).count()));
        for (const leaf_id& leaf : found.leaves)
        {
            told.add_leaves(leaf.value);
        }
        hub.send(agent, std::move(message));
    };
    process.start();
    subscription.on_change(
        [&process](const std::shared_ptr<const system_state>& state)
        { process.apply(state); });
    subscription.start();
    relay_metrics metrics;
    std::optional<http_server> server;
    if (!settings.http_listen.empty())
    {
        server.emplace(context,
                       http_server_options{.address = settings.http_listen},
                       [&](const std::shared_ptr<http_exchange>& one)
                       { serve_http(process, hub, metrics, *one); });
    }
    boost::asio::co_spawn(context, run_until_stopped(context, process, hub),
                          boost::asio::detached);
    log_event(log_level::info, "started",
              {{"host", settings.host}, {"peer", hub.address().value}});
    context.run();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("owns the connections and slots of targets");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    set_log_program("relay");
    relay_settings settings;
    if (!read_relay_settings(FLAGS_settings, settings))
    {
        return EXIT_FAILURE;
    }
    if (FLAGS_check)
    {
        return EXIT_SUCCESS;
    }
    set_log_level(to_log_level(settings.log_level).value_or(log_level::info));
    try
    {
        run(settings);
    }
    catch (const std::exception& fault)
    {
        log_event(log_level::error, "stopped", {{"reason", fault.what()}});
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
