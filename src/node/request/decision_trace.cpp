#include "node/request/decision_trace.hpp"

#include <array>

namespace basilpath
{

namespace
{

decision_record make_record(decision what, instant at, std::size_t shard)
{
    decision_record record;
    record.what = what;
    record.at = at;
    record.shard = shard;
    return record;
}

} // namespace

std::string_view to_text(decision what)
{
    static constexpr std::array<std::string_view, 17> names = {
        "call_first",   "call_hedge",    "call_retry",      "no_replica",
        "no_budget",    "call_answered", "call_failed",     "call_not_executed",
        "call_broken",  "call_unsent",   "call_taken_back", "gate_full",
        "no_room",      "delegated",     "delegate_part",   "delegate_lack",
        "delegate_lost"};
    return names.at(static_cast<std::size_t>(what));
}

decision_record call_record(decision kind, instant at, std::size_t shard,
                            const leaf_id& replica, microseconds expected,
                            const replica_health& health)
{
    decision_record record = make_record(kind, at, shard);
    record.replica = replica;
    record.time = expected;
    record.number = health.outstanding();
    record.load_age = health.report_age(at);
    return record;
}

decision_record call_result_record(instant at, std::size_t shard,
                                   const target_call* call,
                                   const target_result& result)
{
    decision_record record = make_record(to_decision(result), at, shard);
    record.replica = call ? call->to : leaf_id{};
    record.time = result.latency;
    record.number = result.reply.status;
    record.connection = result.connection;
    return record;
}

decision_record cancelled_call_record(instant at, std::size_t shard,
                                      const target_call& call)
{
    decision_record record = make_record(decision::taken_back, at, shard);
    record.replica = call.to;
    return record;
}

decision_record no_call_record(decision why, instant at, std::size_t shard,
                               const service_name& service,
                               const unavailable_replicas& unavailable)
{
    decision_record record = make_record(why, at, shard);
    record.service = service;
    record.unavailable = unavailable;
    return record;
}

decision_record gate_refusal_record(instant at, const service_name& service,
                                    const gate_usage& usage)
{
    decision_record record = make_record(decision::gate_full, at, 0);
    record.service = service;
    record.number = static_cast<unsigned>(usage.under_way);
    record.limit = usage.limit;
    return record;
}

decision_record delegation_record(decision what, instant at, std::size_t shard,
                                  const peer_address& host)
{
    decision_record record = make_record(what, at, shard);
    record.host = host;
    return record;
}

decision_record missing_shard_record(instant at, const peer_address& host,
                                     const missing_shard& absent)
{
    decision_record record =
        make_record(decision::delegate_lack, at, absent.shard);
    record.host = host;
    record.replica = absent.replica;
    record.absent = absent.why;
    return record;
}

decision to_decision(const target_result& result)
{
    switch (result.end)
    {
    case call_end::unsent:
        return decision::unsent;
    case call_end::broken:
        return decision::broken;
    case call_end::answered:
        break;
    }
    if (result.reply.not_executed)
    {
        return decision::not_executed;
    }
    return result.reply.success() ? decision::answered : decision::failed;
}

} // namespace basilpath
