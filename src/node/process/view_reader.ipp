#include "node/process/view_reader.hpp"

#include "process/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilpath
{

namespace view_reader_bounds
{

/// Wait after a failed read, doubled up to the most: an entry that lapsed while
/// the store was away must be seen again soon after its return.
inline constexpr milliseconds least_wait{100};
inline constexpr milliseconds most_wait{800};

/// How long one watch waits; also the time after which silence of the store is
/// noticed.
inline constexpr milliseconds watch_wait{1'500};

/// Least time between two watches, so that many small changes come together.
inline constexpr milliseconds gather_wait{300};

} // namespace view_reader_bounds

template <runtime Runtime, item_source Source>
view_reader<Runtime, Source>::view_reader(Runtime& run, Source& source,
                                          item_view& view)
    : host(run), source(source), view(view),
      retry(view_reader_bounds::least_wait, view_reader_bounds::most_wait)
{
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<void> view_reader<Runtime, Source>::run()
{
    while (true)
    {
        bool good = co_await this->read_all();
        while (good)
        {
            good = co_await this->watch();
        }
        const milliseconds wait = this->retry.next(this->host.random());
        co_await this->pause(wait);
    }
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<bool> view_reader<Runtime, Source>::read_all()
{
    const read_result result = co_await this->source.read_all();
    this->note_end(result);
    if (result.end != read_end::done)
    {
        co_return false;
    }
    this->view.apply(result.update);
    co_return true;
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<bool> view_reader<Runtime, Source>::watch()
{
    const store_revision after = this->view.revision();
    const read_result result =
        co_await this->source.watch(after, view_reader_bounds::watch_wait);
    this->note_end(result);
    if (result.end != read_end::done)
    {
        co_return false;
    }
    this->view.apply(result.update);
    if (!result.update.changes.empty())
    {
        co_await this->pause(view_reader_bounds::gather_wait);
    }
    co_return true;
}

template <runtime Runtime, item_source Source>
boost::asio::awaitable<void>
view_reader<Runtime, Source>::pause(milliseconds wait)
{
    typename Runtime::timer timer(this->host.executor());
    timer.expires_after(wait);
    co_await timer.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
}

// Logs when the store is lost or found again.
template <runtime Runtime, item_source Source>
void view_reader<Runtime, Source>::note_end(const read_result& result)
{
    const bool reached = result.end != read_end::unavailable;
    if (reached)
    {
        this->retry.reset();
    }
    if (reached != this->reachable)
    {
        log_event(reached ? log_level::info : log_level::warning,
                  reached ? "store_reached" : "store_lost",
                  {{"reason", result.reason},
                   {"revision", this->view.revision()}});
    }
    this->reachable = reached;
}

} // namespace basilpath
