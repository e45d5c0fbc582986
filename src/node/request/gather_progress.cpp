#include "node/request/gather_progress.hpp"

#include "node/process/gather_policy.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

namespace
{

// After this many broken calls without an answer, the query itself may be the
// cause.
constexpr std::size_t suspect_broken_calls = 3;

// Quantile of the send delays of all shards that represents the query. It
// leaves out pausing replicas, which a tenth of the shards has at any time.
constexpr double typical_wait_quantile = 0.8;

} // namespace

gather_progress::gather_progress(const route& rule)
    : shards(rule.gather.shards.size()),
      needed_parts(parts_needed(rule.gather)), max_sends(rule.attempts)
{
}

bool gather_progress::may_have_run() const
{
    return std::ranges::any_of(this->shards, &gather_shard::may_have_run);
}

bool gather_progress::query_suspected() const
{
    return this->parts == 0 &&
           this->broken_calls.size() >= suspect_broken_calls;
}

bool gather_progress::may_retry(const gather_shard& one) const
{
    return one.sends < this->max_sends;
}

bool gather_progress::may_hedge(const gather_shard& one) const
{
    return !one.part && !one.failed && !one.retry_deferred &&
           this->may_retry(one) && !this->query_suspected();
}

std::optional<instant> gather_progress::next_hedge() const
{
    std::optional<instant> next;
    for (const gather_shard& one : this->shards)
    {
        if (this->may_hedge(one) && (!next || one.hedge_at < *next))
        {
            next = one.hedge_at;
        }
    }
    return next;
}

microseconds gather_progress::typical_wait(instant now) const
{
    std::vector<microseconds> waits;
    for (const gather_shard& one : this->shards)
    {
        if (const auto wait = one.send_delay(now))
        {
            waits.push_back(*wait);
        }
    }
    if (waits.empty())
    {
        return microseconds(0);
    }
    const auto place =
        waits.begin() +
        static_cast<std::ptrdiff_t>(typical_wait_quantile *
                                    static_cast<double>(waits.size() - 1));
    std::ranges::nth_element(waits, place);
    return *place;
}

void gather_progress::add_part(gather_shard& one, target_reply reply)
{
    one.part = std::move(reply);
    ++this->parts;
}

void gather_progress::fail_if_idle(gather_shard& one)
{
    if (one.idle() && !one.part && !one.failed)
    {
        one.failed = true;
        ++this->failures;
    }
}

std::vector<std::size_t> gather_progress::release_deferred()
{
    std::vector<std::size_t> released;
    const bool any_call = std::ranges::any_of(
        this->shards, [](const gather_shard& one) { return !one.idle(); });
    if (this->query_suspected() && any_call)
    {
        return released;
    }
    for (std::size_t i = 0; i < this->shards.size(); ++i)
    {
        if (std::exchange(this->shards[i].retry_deferred, false))
        {
            released.push_back(i);
        }
    }
    return released;
}

} // namespace basilpath
