#include "node/process/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

namespace
{

// Half of the slack is never spent: a host that starts anew has forgotten what
// it spent a moment before, and spends its share again.
constexpr double restart_reserve = 0.5;

// The ratio is kept with some room, because windows of other hosts and of this
// one do not begin together.
constexpr double ratio_margin = 0.9;

// Part that hedges leave even while no retry is wanted, so that the first calls
// to fail are made again.
constexpr double retry_reserve = 0.15;

} // namespace

void retry_budget::set_host_count(std::size_t hosts)
{
    this->slack_share = this->bound.slack * restart_reserve /
                        static_cast<double>(std::max<std::size_t>(hosts, 1));
}

void retry_budget::note_request(const service_name& service, instant now)
{
    ++this->current(service, now).requests;
}

bool retry_budget::try_spend(const service_name& service, instant now,
                             repeat_kind kind)
{
    slice& slot = this->current(service, now);
    const bool hedge = kind == repeat_kind::hedge;
    slot.wanted_retries += hedge ? 0 : 1;
    const history& past = this->services[service];
    const double total = this->allowed(past, slot.number);
    std::uint32_t spent = 0;
    std::uint32_t claimed = 0;
    for (const slice& one : past)
    {
        if (one.number > slot.number - std::int64_t(slices) - 1)
        {
            spent += one.repeats;
            claimed += one.hedges + one.wanted_retries;
        }
    }
    const bool left = static_cast<double>(spent) + 1.0 <= total;
    const bool unclaimed =
        static_cast<double>(claimed) + 1.0 <= total * (1.0 - retry_reserve);
    if (!left || (hedge && !unclaimed))
    {
        return false;
    }
    ++slot.repeats;
    slot.hedges += hedge ? 1 : 0;
    return true;
}

double retry_budget::left(const service_name& service, instant now)
{
    const slice& slot = this->current(service, now);
    const history& past = this->services[service];
    double spent = 0;
    for (const slice& one : past)
    {
        spent += one.number > slot.number - std::int64_t(slices) - 1
                     ? one.repeats
                     : 0;
    }
    return this->allowed(past, slot.number) - spent;
}

// The slice of the present moment, emptied when it is a new one.
retry_budget::slice& retry_budget::current(const service_name& service,
                                           instant now)
{
    const auto length =
        std::chrono::duration_cast<microseconds>(this->bound.window).count() /
        std::int64_t(slices);
    const std::int64_t number = now.time_since_epoch().count() / length;
    history& past = this->services[service];
    slice& slot =
        past[static_cast<std::size_t>(number % std::int64_t(past.size()))];
    if (slot.number != number)
    {
        slot = {number, 0, 0, 0, 0};
    }
    return slot;
}

// Repeats allowed in the window that ends with this slice.
double retry_budget::allowed(const history& past, std::int64_t number) const
{
    double requests = 0;
    for (const slice& one : past)
    {
        requests +=
            one.number > number - std::int64_t(slices) ? one.requests : 0;
    }
    return this->bound.ratio * ratio_margin * requests + this->slack_share;
}

} // namespace basilpath
