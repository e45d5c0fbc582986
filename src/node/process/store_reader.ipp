#include "node/process/store_reader.hpp"

#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace view_reader_bounds
{

/// Wait after a failed read, doubled up to the most: an entry that lapsed while
/// the store was away must be seen again soon after its return.
inline constexpr milliseconds least_wait{100};
inline constexpr milliseconds most_wait{800};

/// A read takes some milliseconds; when the store is slow, up to a second.
inline constexpr milliseconds read_patience{1'500};

/// A watch answers this much after its wait at the latest.
inline constexpr milliseconds watch_margin{1'000};

/// How long one watch waits. A reader that is cut off is noticed by then, and
/// two readers make one call a second between them.
inline constexpr milliseconds watch_wait{2'000};

/// Hosts that read all the time.
inline constexpr std::size_t reader_count = 2;

/// A host that is no reader reads when its view is older than this, and later
/// the further back it stands in the order of hosts.
inline constexpr milliseconds takeover_age{2'400};
inline constexpr milliseconds takeover_step{250};
inline constexpr std::size_t takeover_steps = 12;

/// How often a host looks whether it should read.
inline constexpr milliseconds duty_interval{100};

/// A starting host waits this long, drawn from the range, for other hosts to
/// bring the view; one that others ask first reads at once. When all hosts
/// start for the first time nobody waits for answers yet.
inline constexpr milliseconds least_first_wait{400};
inline constexpr milliseconds most_first_wait{800};
inline constexpr milliseconds least_restart_wait{20};
inline constexpr milliseconds most_restart_wait{120};

/// Least time between two watches, so that many small changes come together.
inline constexpr milliseconds gather_wait{300};

} // namespace view_reader_bounds

template <runtime Runtime, item_source Source>
store_reader<Runtime, Source>::store_reader(Runtime& run, Source& source,
                                            store_view& view,
                                            const member_list& members,
                                            reader_role role)
    : host(run), source(source), view(view), members(members),
      retry(view_reader_bounds::least_wait, view_reader_bounds::most_wait),
      first_read_at(to_instant(Runtime::clock::now()))
{
    if (role == reader_role::seed)
    {
        return;
    }
    const bool first = role == reader_role::first_start;
    const milliseconds least = first ? view_reader_bounds::least_first_wait
                                     : view_reader_bounds::least_restart_wait;
    const milliseconds most = first ? view_reader_bounds::most_first_wait
                                    : view_reader_bounds::most_restart_wait;
    this->first_read_at +=
        least +
        milliseconds(static_cast<std::int64_t>(
            run.random() % static_cast<std::uint64_t>((most - least).count())));
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<void> store_reader<Runtime, Source>::run()
{
    while (true)
    {
        if (!this->is_due(to_instant(Runtime::clock::now())))
        {
            co_await this->pause(view_reader_bounds::duty_interval);
            continue;
        }
        bool good = false;
        if (this->whole_read_due || this->view.view().revision() == 0)
        {
            good = co_await this->read_all();
        }
        else
        {
            good = co_await this->watch();
        }
        if (!good)
        {
            const milliseconds wait = this->retry.next(this->host.random());
            co_await this->pause(wait);
        }
    }
}

// Tells whether this host should call the store now.
template <runtime Runtime, item_source Source>
bool store_reader<Runtime, Source>::is_due(instant now) const
{
    const auto age = this->view.age(now);
    const std::size_t rank = this->members.rank();
    if (!age || this->view.view().revision() == 0)
    {
        return now >= this->first_read_at;
    }
    if (rank < view_reader_bounds::reader_count)
    {
        return true;
    }
    const auto steps = static_cast<std::int64_t>(
        std::min(rank, view_reader_bounds::takeover_steps));
    return *age > view_reader_bounds::takeover_age +
                      steps * view_reader_bounds::takeover_step;
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<bool> store_reader<Runtime, Source>::read_all()
{
    const read_result result =
        co_await this->source.read_all(view_reader_bounds::read_patience);
    this->note_end(result);
    if (result.end != read_end::done)
    {
        co_return false;
    }
    this->whole_read_due = false;
    this->view.apply(result.update, to_instant(Runtime::clock::now()));
    co_return true;
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<bool> store_reader<Runtime, Source>::watch()
{
    const instant started = to_instant(Runtime::clock::now());
    const store_revision after = this->view.view().revision();
    const read_result result = co_await this->source.watch(
        after, view_reader_bounds::watch_wait,
        view_reader_bounds::watch_wait + view_reader_bounds::watch_margin);
    this->note_end(result);
    if (result.end == read_end::compacted)
    {
        this->whole_read_due = true;
    }
    if (result.end != read_end::done)
    {
        co_return false;
    }
    this->view.apply(result.update, to_instant(Runtime::clock::now()));
    // A store that answers early, with changes or without, is not asked again
    // at once.
    const microseconds took = to_instant(Runtime::clock::now()) - started;
    if (!result.update.changes.empty() ||
        took < view_reader_bounds::gather_wait)
    {
        co_await this->pause(view_reader_bounds::gather_wait);
    }
    co_return true;
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<void>
store_reader<Runtime, Source>::pause(milliseconds wait)
{
    typename Runtime::timer timer(this->host.executor());
    timer.expires_after(wait);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Logs when the store is lost or found again.
template <runtime Runtime, item_source Source>
void store_reader<Runtime, Source>::note_end(const read_result& result)
{
    const bool reached = result.end != read_end::unavailable;
    if (reached)
    {
        this->retry.reset();
    }
    if (this->store.note(reached))
    {
        log_event(reached ? log_level::info : log_level::warning,
                  reached ? "store_reached" : "store_lost",
                  {{"reason", result.reason},
                   {"revision", this->view.view().revision()}});
    }
}

} // namespace basilpath
