/// HTTP service of the stand-in platform; see docs/platform-protocol.md.
#pragma once

#include "connection/http_exchange.hpp"
#include "standin/platform_values.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace basilpath::standin
{

/// Counters of the calls to the platform.
struct platform_record
{
    std::uint64_t calls = 0;
    std::uint64_t watches_waiting = 0;
    std::uint64_t watches_peak = 0;
    std::map<std::string, std::uint64_t> calls_by_value;
};

/// Serves reads and watches. Used only on the thread of the io_context.
class platform_service
{
public:
    explicit platform_service(boost::asio::io_context& context);

    /// Serves `GET /v1/values/NAME`.
    void serve(std::shared_ptr<http_exchange> exchange);

    /// Sets a value and wakes all watches; returns the new revision.
    std::uint64_t set(const std::string& name, std::string bytes);

    /// Changes the mode of the service and wakes all watches.
    void set_mode(platform_mode mode);

    [[nodiscard]] const platform_values& values() const;
    [[nodiscard]] const platform_record& record() const;
    void reset_record();

private:
    /// Parameters of a watch; a plain read has no `after`.
    struct watch
    {
        std::string name;
        std::optional<std::uint64_t> after;
        std::chrono::milliseconds wait{0};
    };

    boost::asio::awaitable<void> answer(std::shared_ptr<http_exchange> exchange,
                                        watch wanted);
    boost::asio::awaitable<void> wait_for_change(http_exchange& exchange,
                                                 const watch& wanted);
    void wake_watches();
    [[nodiscard]] bool unchanged(const watch& wanted) const;
    [[nodiscard]] static watch read_watch(const http_exchange& exchange);

    boost::asio::io_context& context;
    platform_values stored_values;
    platform_record counters;

    std::set<boost::asio::steady_timer*> waiting;
};

} // namespace basilpath::standin
