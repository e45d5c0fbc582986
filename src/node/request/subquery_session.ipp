#include "node/request/subquery_session.hpp"

#include "node/process/crash_detector.hpp"
#include "node/request/decision_trace.hpp"
#include "node/request/record_merge.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace basilpath
{

template <runtime Runtime, target_transport Transport>
subquery_session<Runtime, Transport>::subquery_session(
    services& shared, std::shared_ptr<const route_table> table,
    const route& rule, subquery asked, reporter report)
    : shared(shared), table(std::move(table)), rule(rule),
      asked(std::move(asked)), report(std::move(report)), arrived(this->now()),
      events(shared.run)
{
}

template <runtime Runtime, target_transport Transport>
boost::asio::awaitable<void> subquery_session<Runtime, Transport>::run()
{
    const auto self = this->shared_from_this();
    const instant report_at = this->arrived + this->asked.report_after;
    const instant deadline = this->arrived + this->asked.timeout;
    const instant unsent_deadline =
        std::min(this->arrived + this->rule.objective, deadline);
    for (const subquery_shard& wanted : this->asked.shards)
    {
        this->call_replica(wanted);
    }
    while (!this->cancelled && !this->open.empty() && this->now() < deadline)
    {
        const bool at_once = this->reported || this->asked.separate_reports;
        instant until = at_once ? deadline : std::min(report_at, deadline);
        if (this->nothing_sent())
        {
            until = std::min(until, unsent_deadline);
        }
        auto event = co_await this->events.pop_until(
            to_clock<typename Runtime::clock>(until));
        while (event)
        {
            this->take(std::move(*event));
            event = this->events.take();
        }
        if (this->cancelled)
        {
            break;
        }
        if (this->now() >= unsent_deadline && this->nothing_sent())
        {
            this->give_up_unsent();
        }
        else if (!at_once && this->now() >= report_at)
        {
            this->report_parts(true);
        }
        else if (at_once || this->open.empty())
        {
            this->report_parts(false);
        }
    }
    this->abandon_calls();
    this->shared.crashes.note_end(*this->asked.query, this->answered,
                                  this->broken, this->now());
}

template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::cancel_shard(std::size_t shard)
{
    const auto found = std::ranges::find(this->open, shard, &open_shard::shard);
    if (found != this->open.end())
    {
        this->sent = this->sent || found->call->on_wire;
        // The part has arrived through another call.
        found->call->request_answered = true;
        this->shared.targets.abandon(found->call, milliseconds(0));
        this->open.erase(found);
        this->events.wake();
    }
}

template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::cancel()
{
    this->cancelled = true;
    this->abandon_calls();
    this->events.wake();
}

// Calls the best replica of a shard. Replicas in another failure domain are
// left to the requesting host, which sends its hedge there when this host is
// late.
template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::call_replica(
    const subquery_shard& wanted)
{
    const service_name& service = this->rule.gather.shards.at(wanted.shard);
    const std::vector<candidate> candidates =
        this->shared.targets.candidates(service);
    placement_query place;
    place.now = this->arrived;
    place.usual = this->shared.targets.latency(this->rule.name).usual;
    place.domain = &this->shared.targets.domain();
    place.asked = wanted.asked;
    place.random = this->shared.run.random();
    place.distance = this->asked.report_after;
    place.latest_start = this->arrived + this->asked.soft_timeout;
    const auto choice = choose_replica(candidates, place);
    if (!choice)
    {
        if (count_unavailable(candidates, place).limited > 0)
        {
            this->shared.targets.note_unplaced(service);
        }
        this->report_failure(wanted.shard, missing_reason::not_sent, {});
        return;
    }
    const auto call = std::make_shared<target_call>();
    call->query = this->asked.query;
    call->to = candidates[choice->index].target->id;
    call->route = this->rule.name;
    call->purpose = call_purpose::delegated;
    call->soft_deadline = this->arrived + this->asked.soft_timeout;
    call->deadline = this->arrived + this->asked.timeout;
    call->done = [weak = this->weak_from_this(),
                  raw = std::weak_ptr<target_call>(call)](target_result result)
    {
        if (const auto session = weak.lock())
        {
            session->events.push({raw.lock(), std::move(result)});
        }
    };
    this->open.push_back({wanted.shard, call});
    this->shared.targets.send(call);
}

template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::take(call_event event)
{
    const auto found =
        std::ranges::find(this->open, event.call, &open_shard::call);
    if (found == this->open.end())
    {
        return;
    }
    const std::size_t shard = found->shard;
    const leaf_id replica = event.call->to;
    this->open.erase(found);
    this->sent = this->sent || event.result.end != call_end::unsent;
    target_reply& reply = event.result.reply;
    switch (to_decision(event.result))
    {
    case decision::answered:
        this->answered = true;
        if (reply.signature.empty())
        {
            this->report_failure(shard, missing_reason::failed, replica);
            return;
        }
        this->parts.push_back({shard, std::move(reply.signature)});
        this->bodies.push_back(std::move(reply.body));
        this->bodies_memory.push_back(std::move(reply.memory));
        if (this->asked.separate_reports)
        {
            this->report_parts(false);
        }
        return;
    case decision::not_executed:
        this->report_failure(shard, missing_reason::not_executed, replica);
        return;
    case decision::unsent:
        this->report_failure(shard, missing_reason::not_sent, replica);
        return;
    case decision::broken:
        this->broken.push_back({replica, this->now()});
        this->report_failure(shard, missing_reason::broken, replica);
        return;
    default:
        this->report_failure(shard, missing_reason::failed, replica);
        return;
    }
}

template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::report_failure(
    std::size_t shard, missing_reason why, const leaf_id& replica)
{
    this->report({this->asked.number, {}, {{shard, why, replica}}, {}});
}

// Reports the parts that have arrived since the last report and, if
// `with_waiting`, the shards whose calls are pending.
template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::report_parts(bool with_waiting)
{
    this->reported = true;
    if (this->parts.empty() && !with_waiting)
    {
        return;
    }
    subquery_report next;
    next.number = this->asked.number;
    next.records = this->select_records();
    next.parts = std::exchange(this->parts, {});
    if (with_waiting)
    {
        for (const open_shard& one : this->open)
        {
            next.missing_shards.push_back(
                {one.shard, missing_reason::waiting, one.call->to});
        }
    }
    this->report(std::move(next));
}

// The records of the new parts that may be among the greatest of the answer.
// The requesting host has all the records it needs that are no less than the
// floor. It also keeps the records reported before, unless each part is
// reported separately.
template <runtime Runtime, target_transport Transport>
std::string subquery_session<Runtime, Transport>::select_records()
{
    const std::size_t max_records = this->rule.gather.most_records;
    std::vector<std::string_view> views(this->bodies.begin(),
                                        this->bodies.end());
    const std::string_view bound =
        std::max(std::string_view(this->asked.record_floor),
                 lowest_if_full(this->reported_records, max_records));
    std::string new_records =
        records_above(merge_records(views, max_records), bound);
    if (!this->asked.separate_reports)
    {
        this->reported_records =
            merge_records({this->reported_records, new_records}, max_records);
    }
    this->bodies.clear();
    this->bodies_memory.clear();
    return new_records;
}

template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::abandon_calls()
{
    for (const open_shard& one : this->open)
    {
        one.call->request_answered = this->answered;
        this->shared.targets.abandon(one.call, milliseconds(0));
    }
    this->open.clear();
}

// Returns whether no call has left this host yet.
template <runtime Runtime, target_transport Transport>
bool subquery_session<Runtime, Transport>::nothing_sent() const
{
    return !this->sent &&
           std::ranges::none_of(this->open, [](const open_shard& one)
                                { return one.call->on_wire; });
}

// Abandons calls that were not sent and tells the requesting host, which
// otherwise could not know that they have not run.
template <runtime Runtime, target_transport Transport>
void subquery_session<Runtime, Transport>::give_up_unsent()
{
    subquery_report next;
    next.number = this->asked.number;
    std::ranges::transform(this->open, std::back_inserter(next.missing_shards),
                           [](const open_shard& one) {
                               return missing_shard{one.shard,
                                                    missing_reason::not_sent,
                                                    one.call->to};
                           });
    this->abandon_calls();
    this->report(std::move(next));
}

template <runtime Runtime, target_transport Transport>
instant subquery_session<Runtime, Transport>::now() const
{
    return to_instant(Runtime::clock::now());
}

} // namespace basilpath
