#include "node/process/request_log.hpp"

#include "process/log.hpp"

#include <fmt/ranges.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <ranges>

namespace basilpath
{

namespace
{

// One in this many requests is logged although it succeeded.
constexpr std::uint64_t sample_rate = 256;

// Limit of the log lines per second about requests; a line costs about 5 us of
// processor time, so this is a tenth of a percent of a core.
constexpr double lines_per_second = 200;

// Lines that may be written at once after a quiet period.
constexpr double burst_lines = 600;

// Lines that are left for the ends of requests whose decisions are omitted.
constexpr double end_line_reserve = 100;

// Limit of the ids in one line on requests that were not logged.
constexpr std::size_t max_dropped_ids = 32;

void log_decision(const request_id& id, instant arrived,
                  const decision_record& one)
{
    const bool call = one.what <= decision::call_retry;
    const auto offset = (one.at - arrived).count();
    if (call)
    {
        log_event(
            log_level::info, to_text(one.what),
            {{"request", id.value},
             {"at_us", offset},
             {"shard", one.shard},
             {"replica", one.replica.value},
             {"expected_us", one.time.count()},
             {"outstanding", one.number},
             {"load_age_ms",
              one.load_age ? std::to_string(one.load_age->count()) : "none"}});
        return;
    }
    if (one.what == decision::no_replica || one.what == decision::no_budget)
    {
        log_event(log_level::info, to_text(one.what),
                  {{"request", id.value},
                   {"at_us", offset},
                   {"shard", one.shard},
                   {"service", one.service.value},
                   {"known", one.unavailable.known},
                   {"evacuated", one.unavailable.evacuated},
                   {"down", one.unavailable.down},
                   {"leaving", one.unavailable.leaving},
                   {"asked", one.unavailable.asked},
                   {"limited", one.unavailable.limited}});
        return;
    }
    if (one.what == decision::no_room)
    {
        log_event(log_level::info, to_text(one.what),
                  {{"request", id.value},
                   {"at_us", offset},
                   {"shard", one.shard},
                   {"service", one.service.value}});
        return;
    }
    if (one.what == decision::delegate_lack)
    {
        log_event(log_level::info, to_text(one.what),
                  {{"request", id.value},
                   {"at_us", offset},
                   {"shard", one.shard},
                   {"delegate", one.host.value},
                   {"replica", one.replica.value},
                   {"why", to_text(one.absent)}});
        return;
    }
    if (one.what >= decision::delegated)
    {
        log_event(log_level::info, to_text(one.what),
                  {{"request", id.value},
                   {"at_us", offset},
                   {"shard", one.shard},
                   {"delegate", one.host.value}});
        return;
    }
    if (one.what == decision::gate_full)
    {
        log_event(log_level::info, to_text(one.what),
                  {{"request", id.value},
                   {"at_us", offset},
                   {"service", one.service.value},
                   {"under_way", one.number},
                   {"limit", one.limit}});
        return;
    }
    log_event(log_level::info, to_text(one.what),
              {{"request", id.value},
               {"at_us", offset},
               {"shard", one.shard},
               {"replica", one.replica.value},
               {"took_us", one.time.count()},
               {"status", one.number},
               {"connection", one.connection.local_port},
               {"connection_calls", one.connection.calls}});
}

} // namespace

bool is_sampled(const request_id& id)
{
    return XXH3_64bits(id.value.data(), id.value.size()) % sample_rate == 0;
}

void request_log::note(const request_summary& summary,
                       const decision_trace& trace, instant now)
{
    const std::size_t lines = trace.decisions().size() + 1;
    const extent chosen = this->choose_extent(summary, lines, now);
    if (chosen == extent::none)
    {
        return;
    }
    if (chosen == extent::whole)
    {
        for (const decision_record& one : trace.decisions())
        {
            log_decision(summary.id, summary.arrived, one);
        }
    }
    log_event(log_level::info, "request",
              {{"request", summary.id.value},
               {"outcome", summary.outcome},
               {"status", summary.status},
               {"route", summary.route},
               {"version", summary.version.value},
               {"took_us", summary.took.count()},
               {"patience_ms", summary.caller_timeout.count()},
               {"spent_us", summary.spent.count()},
               {"parts", summary.parts},
               {"shards", summary.shards},
               {"repeats", summary.repeats},
               {"decisions_omitted",
                chosen == extent::whole ? 0 : trace.decisions().size()}});
}

void request_log::report_dropped()
{
    if (this->dropped_count == this->dropped_reported)
    {
        return;
    }
    log_event(
        log_level::warning, "requests_not_logged",
        {{"count", this->dropped_count - this->dropped_reported},
         {"latest", fmt::format("{}", fmt::join(this->dropped_ids |
                                                    std::views::transform(
                                                        &request_id::value),
                                                ","))}});
    this->dropped_reported = this->dropped_count;
    this->dropped_ids.clear();
}

// Takes the lines to write from the token bucket. The line that ends a request
// may use tokens that its decisions must leave.
request_log::extent request_log::choose_extent(const request_summary& summary,
                                               std::size_t lines, instant now)
{
    const std::chrono::duration<double> passed = now - this->refilled_at;
    this->refilled_at = now;
    this->line_tokens = std::min(
        burst_lines, this->line_tokens + passed.count() * lines_per_second);
    if (!summary.noteworthy && !is_sampled(summary.id))
    {
        return extent::none;
    }
    if (static_cast<double>(lines) + end_line_reserve <= this->line_tokens)
    {
        this->line_tokens -= static_cast<double>(lines);
        return extent::whole;
    }
    if (this->line_tokens >= 1)
    {
        this->line_tokens -= 1;
        return extent::end_only;
    }
    ++this->dropped_count;
    this->dropped_ids.push_back(summary.id);
    if (this->dropped_ids.size() > max_dropped_ids)
    {
        this->dropped_ids.pop_front();
    }
    return extent::none;
}

} // namespace basilpath
