/// The part of a query's session that deals with hosts of other failure
/// domains. Included by gather_session.ipp.
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

/// A report may come this much later than a round trip after it was due: hosts
/// have other work in hand. Until then its shards are not asked elsewhere.
inline constexpr microseconds report_margin{2'000};

} // namespace gather_bounds

// Draws the failure domain whose replicas are preferred of those elsewhere, so
// that over many queries each gets its part.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::choose_domain()
{
    const auto domains = this->shared.delegates.usable_domains();
    if (!domains.empty())
    {
        this->preferred_domain =
            domains[this->shared.run.random() % domains.size()];
    }
}

// Asks for the shards for which replicas of other failure domains were chosen.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::ask_remote()
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
    this->first_asked = true;
}

// Has a host of the failure domain ask for these shards. False when there is
// none or it does not pay.
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
    asked.record_floor = this->bounding_record();
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
    const bool separate_reports = this->first_asked;
    asked.separate_reports = separate_reports;
    asked.soft_timeout =
        std::max(this->plan.cutoff - time - trip / 2, microseconds(0));
    asked.timeout = std::max(this->plan.deadline - time, microseconds(0));
    asked.query = this->query;
    std::vector<std::size_t> numbers;
    for (const remote_choice& one : shards)
    {
        gather_shard& shard = this->progress.shard(one.shard);
        asked.shards.push_back({one.shard, shard.asked});
        numbers.push_back(one.shard);
        shard.may_merge = shard.may_merge || !asked.separate_reports;
        shard.arrived_before = shard.arrived;
        shard.arrived = true;
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

// The least of as many records as are answered, when that many are in and are
// sure to be answered; empty otherwise. The part of a shard that has been asked
// of another host may be replaced by that of the host.
template <runtime Runtime, target_transport Transport>
std::string gather_session<Runtime, Transport>::bounding_record() const
{
    std::vector<std::string_view> bodies;
    for (const gather_shard& one : this->progress.all())
    {
        if (one.part && !one.may_merge)
        {
            bodies.push_back(one.part->body);
        }
    }
    std::ranges::copy(this->delegations.records(), std::back_inserter(bodies));
    const std::size_t most = this->rule.gather.most_records;
    return std::string(least_of_full(merge_records(bodies, most), most));
}

template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take(report_event event)
{
    if (!event.report)
    {
        this->lose_subquery(event.number);
        return;
    }
    if (!this->delegations.fits(*event.report))
    {
        // Its parts cannot be taken apart from those that are known already.
        log_event(log_level::warning, "report_misfits",
                  {{"request", this->query->id.value}});
        this->shared.delegates.cancel(event.number);
        this->lose_subquery(event.number);
        return;
    }
    this->delegations.note_reported(event.number);
    const auto from = *this->delegations.find(event.number);
    this->take_parts(*event.report);
    for (const missing_shard& absent : event.report->missing_shards)
    {
        this->take_lack(absent, from, event.number);
    }
    this->settle_held();
}

// Takes the parts of a report. A part that has come alone is replaced by one
// that is merged with others.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take_parts(subquery_report& report)
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
        this->progress.take_part(shard, std::move(reply));
        this->give_up_calls(shard);
        this->cancel_shard(part.shard);
    }
    if (!alone && !report.parts.empty())
    {
        this->delegations.add_records(std::move(report.records));
    }
}

// Another host has no part of a shard, or not yet.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::take_lack(
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
        shard.arrived = shard.arrived_before;
        shard.direct_only = true;
    }
    if (absent.why == missing_reason::broken)
    {
        this->progress.note_broken(absent.replica);
    }
    if (!shard.part)
    {
        this->retry_or_fail(absent.shard);
    }
}

// No report of a subquery will come any more.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::lose_subquery(subquery_number number)
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
    this->settle_held();
}

// Tells other hosts that the part of a shard is in. It may still come merged
// with others.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::cancel_shard(std::size_t number)
{
    for (const subquery_number one : this->delegations.of(number))
    {
        this->shared.delegates.cancel_shard(one, number);
    }
}

// A shard is asked a second time: when nothing has come of the subquery that it
// is in, its host is late.
template <runtime Runtime, target_transport Transport>
void gather_session<Runtime, Transport>::note_overdue(std::size_t number,
                                                      instant time)
{
    for (const subquery_number one : this->delegations.of(number))
    {
        if (!this->delegations.find(one)->reported)
        {
            this->shared.delegates.note_overdue(one, time);
        }
    }
}

} // namespace basilpath
