#include "node/process/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace basilpath
{

namespace
{

// Margin on the ratio, because the windows of different hosts are not aligned.
constexpr double ratio_margin = 0.9;

// Share that hedges leave even while no retry is requested, so that the first
// failed calls can be retried.
constexpr double retry_reserve = 0.15;

} // namespace

void retry_budget::set_slack_share(double share)
{
    this->slack_share = share;
}

void retry_budget::note_request(const service_name& service, instant now)
{
    ++this->current_slice(service, now).requests;
}

bool retry_budget::try_spend(const service_name& service, instant now,
                             repeat_kind kind)
{
    slice& slot = this->current_slice(service, now);
    const bool hedge = kind == repeat_kind::hedge;
    slot.requested_retries += hedge ? 0 : 1;
    const history& past = this->services[service];
    const double total = this->allowed_repeats(past, slot.number);
    std::uint32_t spent = 0;
    std::uint32_t reserved = 0;
    for (const slice& one : past)
    {
        if (one.number > slot.number - std::int64_t(slices) - 1)
        {
            spent += one.repeats;
            reserved += one.hedges + one.requested_retries;
        }
    }
    const bool left = static_cast<double>(spent) + 1.0 <= total;
    const bool unreserved =
        static_cast<double>(reserved) + 1.0 <= total * (1.0 - retry_reserve);
    if (!left || (hedge && !unreserved))
    {
        return false;
    }
    ++slot.repeats;
    slot.hedges += hedge ? 1 : 0;
    return true;
}

double retry_budget::left(const service_name& service, instant now)
{
    const slice& slot = this->current_slice(service, now);
    const history& past = this->services[service];
    double spent = 0;
    for (const slice& one : past)
    {
        spent += one.number > slot.number - std::int64_t(slices) - 1
                     ? one.repeats
                     : 0;
    }
    return this->allowed_repeats(past, slot.number) - spent;
}

// Returns the slice of the current time, cleared when it is new.
retry_budget::slice& retry_budget::current_slice(const service_name& service,
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

// Returns the number of repeats allowed in the window that ends with this
// slice.
double retry_budget::allowed_repeats(const history& past,
                                     std::int64_t number) const
{
    double requests = 0;
    for (const slice& one : past)
    {
        requests +=
            one.number > number - std::int64_t(slices) ? one.requests : 0;
    }
    return this->bound.ratio * ratio_margin * requests +
           this->bound.slack * this->slack_share;
}

} // namespace basilpath
