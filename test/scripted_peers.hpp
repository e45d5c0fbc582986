/// The other processes of a session in virtual time: a transport that records
/// what is sent and lets a test answer it after a delay.
#pragma once

#include "connection/peer_hub.hpp"
#include "virtual_runtime.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <functional>
#include <set>
#include <string>

namespace basilpath::test
{

/// Records sends; `script` decides what happens next.
class scripted_peers
{
public:
    using handler =
        std::function<void(const peer_address&, const wire::Envelope&)>;

    explicit scripted_peers(virtual_runtime& run) : run(run) {}

    bool send(const peer_address& to, const wire::Envelope& message)
    {
        const bool taken = !this->silent.contains(to);
        this->write("{} {}{}", to.value, describe(message),
                    taken ? "" : " (not taken)");
        if (taken && this->script)
        {
            this->script(to, message);
        }
        return taken;
    }

    [[nodiscard]] bool responsive(const peer_address& to) const
    {
        return !this->silent.contains(to);
    }

    /// Adds a line with the virtual time to the record of the session.
    template <class... Values>
    void write(fmt::format_string<Values...> format, Values&&... values)
    {
        this->record += fmt::format(
            "{:>8} us  {}\n", virtual_clock::now().time_since_epoch().count(),
            fmt::format(format, std::forward<Values>(values)...));
    }

    /// Runs an action after a delay of virtual time.
    void after(microseconds delay, std::function<void()> action)
    {
        boost::asio::co_spawn(
            this->run.executor(),
            [](scripted_peers* self, microseconds wait,
               std::function<void()> what) -> boost::asio::awaitable<void>
            {
                virtual_runtime::timer timer(self->run.executor());
                timer.expires_after(wait);
                co_await timer.async_wait(
                    boost::asio::as_tuple(boost::asio::use_awaitable));
                what();
            }(this, delay, std::move(action)),
            boost::asio::detached);
    }

    /// One line that tells what a message asks.
    static std::string describe(const wire::Envelope& message)
    {
        if (message.has_shard_query())
        {
            const wire::ShardQuery& query = message.shard_query();
            return fmt::format(
                "query {} attempt={} version={} shards={} budget_us={}{}",
                query.request(), query.attempt(), query.version(),
                fmt::join(query.shards(), ","), query.budget_us(),
                query.canary() ? " canary" : "");
        }
        if (message.has_cancel_query())
        {
            return "cancel " + message.cancel_query().request();
        }
        if (message.has_leaf_execute())
        {
            return fmt::format("execute {} shard={} budget_us={}",
                               message.leaf_execute().request(),
                               message.leaf_execute().shard(),
                               message.leaf_execute().budget_us());
        }
        if (message.has_home_execute())
        {
            return fmt::format("home {} key={}",
                               message.home_execute().request(),
                               message.home_execute().key());
        }
        return fmt::format("message {}", static_cast<int>(message.body_case()));
    }

    handler script;
    std::set<peer_address> silent;
    std::string record;

private:
    virtual_runtime& run;
};

static_assert(peer_transport<scripted_peers>);

} // namespace basilpath::test
