#include "standin/platform_service.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace basilpath::standin
{

namespace
{

using namespace std::chrono_literals;

constexpr auto as_tuple_awaitable =
    boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::string_view values_path = "/v1/values/";
constexpr auto slow_delay = 1s;
constexpr auto longest_wait = 60'000ms;
constexpr const char* plain_text = "text/plain";

// Returns the value of a numeric parameter of a query string.
std::optional<std::uint64_t> query_number(const std::string& query,
                                          std::string_view name)
{
    const std::string marked = "&" + query;
    const std::string wanted = fmt::format("&{}=", name);
    const std::size_t start = marked.find(wanted);
    if (start == std::string::npos)
    {
        return std::nullopt;
    }
    const char* const first = marked.data() + start + wanted.size();
    std::uint64_t number = 0;
    const auto result =
        std::from_chars(first, marked.data() + marked.size(), number);
    return result.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

} // namespace

platform_service::platform_service(boost::asio::io_context& context)
    : context(context)
{
}

platform_service::watch
platform_service::read_watch(const http_exchange& exchange)
{
    watch wanted;
    wanted.name = exchange.path.substr(values_path.size());
    wanted.after = query_number(exchange.query, "after");
    wanted.wait = std::min<std::chrono::milliseconds>(
        longest_wait, std::chrono::milliseconds(
                          query_number(exchange.query, "wait_ms").value_or(0)));
    return wanted;
}

void platform_service::serve(std::shared_ptr<http_exchange> exchange)
{
    if (exchange->method != "GET" || !exchange->path.starts_with(values_path))
    {
        exchange->reply({404, "no such path\n", plain_text, {}});
        return;
    }
    watch wanted = read_watch(*exchange);
    ++this->counters.calls;
    ++this->counters.calls_by_value[wanted.name];
    boost::asio::co_spawn(this->context,
                          this->answer(std::move(exchange), std::move(wanted)),
                          boost::asio::detached);
}

// Processes one read or watch from its arrival to its response.
boost::asio::awaitable<void>
platform_service::answer(std::shared_ptr<http_exchange> exchange, watch wanted)
{
    if (this->stored_values.mode() == platform_mode::slow)
    {
        boost::asio::steady_timer delay(this->context, slow_delay);
        co_await delay.async_wait(as_tuple_awaitable);
    }
    co_await this->wait_for_change(*exchange, wanted);
    if (this->stored_values.mode() == platform_mode::down)
    {
        exchange->reply({503, "down\n", plain_text, {}});
        co_return;
    }
    const auto value = this->stored_values.served_value(wanted.name);
    if (this->stored_values.mode() == platform_mode::garbage)
    {
        exchange->reply({200, "\x01\x02 revision x\n[", plain_text, {}});
    }
    else if (!value)
    {
        exchange->reply({404, "no such value\n", plain_text, {}});
    }
    else if (this->unchanged(wanted))
    {
        exchange->reply({304, "", plain_text, {}});
    }
    else
    {
        exchange->reply(
            {200,
             fmt::format("revision {}\n{}", value->revision, value->bytes),
             plain_text,
             {}});
    }
}

// Returns when the value changes, the wait expires, the caller disconnects or
// the service goes down.
boost::asio::awaitable<void>
platform_service::wait_for_change(http_exchange& exchange, const watch& wanted)
{
    boost::asio::steady_timer limit(this->context, wanted.wait);
    exchange.on_cancel([&limit] { limit.cancel(); });
    this->waiting.insert(&limit);
    ++this->counters.watches_waiting;
    this->counters.watches_peak =
        std::max(this->counters.watches_peak, this->counters.watches_waiting);
    while (this->unchanged(wanted) && !exchange.cancelled() &&
           this->stored_values.mode() != platform_mode::down &&
           std::chrono::steady_clock::now() < limit.expiry())
    {
        co_await limit.async_wait(as_tuple_awaitable);
    }
    --this->counters.watches_waiting;
    this->waiting.erase(&limit);
    exchange.on_cancel(nullptr);
}

// Wakes every watch to check its value again.
void platform_service::wake_watches()
{
    std::ranges::for_each(this->waiting, [](auto* timer) { timer->cancel(); });
}

bool platform_service::unchanged(const watch& wanted) const
{
    const auto value = this->stored_values.served_value(wanted.name);
    return value && wanted.after && *wanted.after == value->revision;
}

std::uint64_t platform_service::set(const std::string& name, std::string bytes)
{
    const std::uint64_t revision =
        this->stored_values.set(name, std::move(bytes));
    this->wake_watches();
    return revision;
}

void platform_service::set_mode(platform_mode mode)
{
    this->stored_values.set_mode(mode);
    this->wake_watches();
}

const platform_values& platform_service::values() const
{
    return this->stored_values;
}

const platform_record& platform_service::record() const
{
    return this->counters;
}

void platform_service::reset_record()
{
    platform_record fresh;
    fresh.watches_waiting = this->counters.watches_waiting;
    fresh.watches_peak = this->counters.watches_waiting;
    this->counters = std::move(fresh);
}

} // namespace basilpath::standin
