/// The part of `gather_session` that sends subqueries to hosts in other failure
/// domains and processes their reports. Included by gather_session.ipp.
#include "node/process/delegation_policy.hpp"
#include "node/request/gather_session.hpp"
#include "node/request/record_merge.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <string_view>
#include <utility>

namespace basilpath
{

namespace gather_bounds
{

/// A report is overdue this long after its due time plus a round trip, because
/// the host may be busy with other work. Its shards are not hedged earlier.
inline constexpr microseconds report_margin{2'000};

} // namespace gather_bounds

// Draws the failure domain preferred among the others at random, so that the
// load of many queries is spread evenly over them.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::choose_preferred_domain()
{
    this->delegated_domains = this->shared.delegates.usable_domains();
    if (!this->delegated_domains.empty())
    {
        this->preferred_domain =
            this->delegated_domains[this->shared.run.random() %
                                    this->delegated_domains.size()];
    }
}

// Sends subqueries for the shards whose chosen replicas are in other failure
// domains, and calls the replicas directly where no subquery is sent.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::send_subqueries()
{
    for (const auto& [domain, shards] : this->delegations.take_chosen())
    {
        if (this->delegate_shards(domain, shards))
        {
            continue;
        }
        for (const remote_choice& one : shards)
        {
            --this->progress.shard(one.shard).delegations;
            this->start_call(one.shard, one.replica);
        }
    }
    this->first_calls_made = true;
}

// Sends a subquery for these shards to a host of the failure domain. Returns
// false when no host there is usable or a subquery saves no bytes.
template <runtime Runtime, target_transport Transport>
bool gather_session<Runtime, Transport>::delegate_shards(
    const failure_domain& domain, const std::vector<remote_choice>& shards)
{
    const auto host = this->shared.delegates.usable_in(domain);
    if (!host)
    {
        return false;
    }
    subquery asked;
    asked.record_floor = this->lowest_kept_record();
    const auto parts_in =
        this->progress.all().size() - this->progress.missing();
    const delegation_inputs known{
        shards.size(), this->rule.gather.most_records,
        this->shared.targets.latency(this->rule.name).answer_bytes,
        static_cast<double>(wire_size(*this->query)),
        asked.record_floor.empty() ? 0 : parts_in};
    if (!delegation_saves_bytes(known))
    {
        return false;
    }
    const instant time = this->now();
    const microseconds trip = this->shared.delegates.round_trip(host->address);
    asked.version = this->table->version();
    asked.route = this->rule.name;
    asked.report_after = this->plan.hedge_delay;
    const bool separate_reports = this->first_calls_made;
    asked.separate_reports = separate_reports;
    asked.soft_timeout =
        std::max(this->plan.cutoff - time - trip / 2, microseconds(0));
    asked.timeout = std::max(this->plan.deadline - time - trip -
                                 gather_bounds::report_margin,
                             microseconds(0));
    asked.query = this->query;
    std::vector<std::size_t> numbers;
    for (const remote_choice& one : shards)
    {
        gather_shard& shard = this->progress.shard(one.shard);
        asked.shards.push_back({one.shard, shard.asked});
        numbers.push_back(one.shard);
        shard.may_arrive_merged =
            shard.may_arrive_merged || !asked.separate_reports;
        ++shard.arrivals;
        ++shard.sends;
        shard.hedge_at =
            time + this->plan.hedge_delay + trip + gather_bounds::report_margin;
        this->trace.add(delegation_record(decision::delegated, time, one.shard,
                                          host->address));
    }
    const subquery_number number = this->shared.delegates.send(
        host->address, std::move(asked),
        [weak = this->weak_from_this()](subquery_number about,
                                        std::optional<subquery_report> report)
        {
            if (const auto session = weak.lock())
            {
                session->events.push(report_event{about, std::move(report)});
            }
        });
    this->delegations.note_sent(
        number, {*host, separate_reports, std::move(numbers), false});
    return true;
}

// The lowest of the greatest `max_records` records so far, which bounds the
// records that another host need send; empty while there are fewer. Leaves out
// a part that may be replaced by one merged with others.
template <runtime Runtime, target_transport Transport>
std::string gather_session<Runtime, Transport>::lowest_kept_record() const
{
    std::vector<std::string_view> bodies;
    for (const gather_shard& one : this->progress.all())
    {
        if (one.part && !one.may_arrive_merged)
        {
            bodies.push_back(one.part->body);
        }
    }
    std::ranges::copy(this->delegations.records(), std::back_inserter(bodies));
    const std::size_t max_records = this->rule.gather.most_records;
    return std::string(
        lowest_if_full(merge_records(bodies, max_records), max_records));
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take(report_event event)
{
    if (!event.report)
    {
        this->fail_subquery(event.number);
        return;
    }
    if (!this->delegations.matches(*event.report))
    {
        // The records of the report cannot be separated from those of parts
        // that have arrived already.
        log_event(log_level::warning, "report_misfits",
                  {{"request", this->query->id.value}});
        this->shared.delegates.cancel(event.number);
        this->fail_subquery(event.number);
        return;
    }
    this->delegations.note_reported(event.number);
    const auto from = *this->delegations.find(event.number);
    this->add_parts(*event.report);
    for (const missing_shard& absent : event.report->missing_shards)
    {
        this->on_missing_shard(absent, from, event.number);
    }
    this->settle_deferred();
}

// Adds the parts of a report. A part that arrived alone is replaced by one that
// is merged with others.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::add_parts(subquery_report& report)
{
    const auto from = *this->delegations.find(report.number);
    const bool alone = from.separate_reports && report.parts.size() == 1;
    for (reported_part& part : report.parts)
    {
        gather_shard& shard = this->progress.shard(part.shard);
        this->trace.add(delegation_record(decision::delegate_part, this->now(),
                                          part.shard, from.to.address));
        if (this->delegations.settle(report.number, part.shard))
        {
            this->shared.delegates.remove_subquery(report.number);
        }
        --shard.delegations;
        if (shard.part && alone)
        {
            continue;
        }
        target_reply reply;
        reply.signature = std::move(part.signature);
        reply.body = alone ? std::move(report.records) : std::string{};
        if (shard.part)
        {
            shard.part = std::move(reply);
            continue;
        }
        this->progress.add_part(shard, std::move(reply));
        this->abandon_calls(shard);
        this->cancel_shard(part.shard);
    }
    if (!alone && !report.parts.empty())
    {
        this->delegations.add_records(std::move(report.records));
    }
}

// Processes a report that a shard has no part, or none yet.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::on_missing_shard(
    const missing_shard& absent, const gather_delegations::sent_subquery& from,
    subquery_number number)
{
    gather_shard& shard = this->progress.shard(absent.shard);
    this->trace.add(missing_shard_record(this->now(), from.to.address, absent));
    if (!absent.replica.value.empty())
    {
        shard.asked.push_back(absent.replica);
    }
    if (absent.why == missing_reason::waiting)
    {
        return;
    }
    if (this->delegations.settle(number, absent.shard))
    {
        this->shared.delegates.remove_subquery(number);
    }
    --shard.delegations;
    if (absent.why == missing_reason::not_sent)
    {
        --shard.sends;
        --shard.arrivals;
        shard.direct_only = true;
    }
    if (absent.why == missing_reason::not_executed)
    {
        ++shard.refusals;
    }
    if (absent.why == missing_reason::broken)
    {
        this->progress.note_broken(absent.replica, this->now());
    }
    if (!shard.part)
    {
        this->retry_or_fail(absent.shard);
    }
}

// Retries the open shards of a subquery that will send no further report.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::fail_subquery(subquery_number number)
{
    const auto lost = this->delegations.take(number);
    if (!lost)
    {
        return;
    }
    for (const std::size_t one : lost->open)
    {
        gather_shard& shard = this->progress.shard(one);
        --shard.delegations;
        if (!shard.part)
        {
            this->trace.add(delegation_record(
                decision::delegate_lost, this->now(), one, lost->to.address));
            this->retry_or_fail(one);
        }
    }
    this->settle_deferred();
}

// Sends cancellations of a shard whose part has arrived. Another host may still
// report its part merged with others.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::cancel_shard(std::size_t number)
{
    for (const subquery_number one : this->delegations.open_for(number))
    {
        this->shared.delegates.cancel_shard(one, number);
    }
}

// Counts the host of a subquery without any report as late when a hedge is sent
// for one of its shards.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::note_overdue(std::size_t number,
                                                      instant time)
{
    for (const subquery_number one : this->delegations.open_for(number))
    {
        if (!this->delegations.find(one)->reported)
        {
            this->shared.delegates.note_overdue(one, time);
        }
    }
}

} // namespace basilpath
