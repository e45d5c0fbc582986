/// Watching one value of the platform while it is this host's turn.
#pragma once

#include "connection/platform_source.hpp"
#include "process/backoff.hpp"
#include "process/call_budget.hpp"
#include "process/event_report.hpp"
#include "process/runtime.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilpath
{

/// Lives as long as the process. Hands over every value that the platform
/// tells, whatever it is; the owner judges it.
template <runtime Runtime, platform_source Platform>
class platform_watch
    : public std::enable_shared_from_this<platform_watch<Runtime, Platform>>
{
public:
    using budget = call_budget<typename Runtime::clock>;

    /// What the watch asks of its owner.
    struct owner_calls
    {
        std::function<bool()> on_turn;
        std::function<void(const std::string& name, std::string bytes)> take;
        event_report report;
    };

    platform_watch(Runtime& owner, Platform& platform, budget& calls,
                   std::string name, owner_calls hooks);

    /// Runs until the watch is stopped.
    boost::asio::awaitable<void> run();

    void stop();

private:
    boost::asio::awaitable<void> sleep(std::chrono::milliseconds time);
    boost::asio::awaitable<void> call();

    Runtime& owner;
    Platform& platform;
    budget& calls;
    std::string name;
    owner_calls hooks;
    typename Runtime::timer timer;
    backoff retry;
    std::optional<std::uint64_t> revision;
    bool failing = false;
    bool stopped = false;
};

} // namespace basilpath

#include "process/platform_watch.ipp"
