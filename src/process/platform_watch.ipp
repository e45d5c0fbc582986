#pragma once

#include "process/platform_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace basilpath
{

namespace platform_times
{

inline constexpr std::chrono::milliseconds watch_time{10'000};
inline constexpr std::chrono::milliseconds turn_interval{500};
inline constexpr std::chrono::milliseconds budget_interval{500};
inline constexpr std::chrono::milliseconds retry_least{500};
inline constexpr std::chrono::milliseconds retry_most{4000};

} // namespace platform_times

template <runtime Runtime, platform_source Platform>
platform_watch<Runtime, Platform>::platform_watch(Runtime& owner,
                                                  Platform& platform,
                                                  budget& calls,
                                                  std::string name,
                                                  owner_calls hooks)
    : owner(owner), platform(platform), calls(calls), name(std::move(name)),
      hooks(std::move(hooks)), timer(owner.executor()),
      retry(platform_times::retry_least, platform_times::retry_most)
{
}

template <runtime Runtime, platform_source Platform>
boost::asio::awaitable<void> platform_watch<Runtime, Platform>::run()
{
    const auto self = this->shared_from_this();
    while (!this->stopped)
    {
        if (!this->hooks.on_turn())
        {
            // Another may have watched meanwhile: read anew on the next turn.
            this->revision.reset();
            co_await this->sleep(platform_times::turn_interval);
        }
        else if (!this->calls.take(Runtime::clock::now()))
        {
            co_await this->sleep(platform_times::budget_interval);
        }
        else
        {
            co_await this->call();
        }
    }
}

template <runtime Runtime, platform_source Platform>
void platform_watch<Runtime, Platform>::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

template <runtime Runtime, platform_source Platform>
boost::asio::awaitable<void>
platform_watch<Runtime, Platform>::sleep(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    co_await this->timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Makes one call, hands on what it brought, and waits after a failure.
template <runtime Runtime, platform_source Platform>
boost::asio::awaitable<void> platform_watch<Runtime, Platform>::call()
{
    platform_reply reply = co_await this->platform.read(
        this->name, this->revision, platform_times::watch_time);
    const bool failed = !reply.content && !reply.unchanged;
    if (failed != std::exchange(this->failing, failed))
    {
        this->hooks.report(failed ? log_level::warning : log_level::info,
                           failed ? "platform_failed" : "platform_recovered",
                           {{"value", this->name}, {"reason", reply.reason}});
    }
    if (failed)
    {
        // The service may have begun to count anew: read the value whole.
        this->revision.reset();
        co_await this->sleep(this->retry.next(this->owner.random()));
        co_return;
    }
    this->retry.reset();
    if (reply.content)
    {
        this->revision = reply.content->revision;
        this->hooks.take(this->name, std::move(reply.content->bytes));
    }
}

} // namespace basilpath
