#include "load/paced_arrivals.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace basilpath::load
{

paced_arrivals::paced_arrivals(boost::asio::io_context& context,
                               std::vector<arrival> arrivals)
    : context(context), arrivals(std::move(arrivals))
{
}

void paced_arrivals::run(time_point start,
                         std::function<void(const arrival&)> send)
{
    this->start = start;
    this->send = std::move(send);
    boost::asio::co_spawn(this->context, this->send_arrivals(),
                          boost::asio::detached);
    this->context.run();
}

microseconds paced_arrivals::elapsed() const
{
    return std::chrono::duration_cast<microseconds>(
        std::chrono::steady_clock::now() - this->start);
}

paced_arrivals::time_point paced_arrivals::time_of(microseconds at) const
{
    return this->start + at;
}

// Waits for the time of each arrival in turn and sends it.
boost::asio::awaitable<void> paced_arrivals::send_arrivals()
{
    boost::asio::steady_timer timer(this->context);
    for (const arrival& one : this->arrivals)
    {
        timer.expires_at(this->time_of(one.at));
        co_await timer.async_wait(boost::asio::use_awaitable);
        this->send(one);
    }
}

} // namespace basilpath::load
