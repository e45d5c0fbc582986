/// The part of `target_pool` that keeps to the limits that replicas name and to
/// the rates of cold ones.
/// Included by target_pool.ipp.
#include "node/process/target_pool.hpp"
#include "process/log.hpp"

#include <algorithm>
#include <utility>

namespace basilpath
{

template <target_codec Codec>
void target_pool<Codec>::note_unplaced(const service_name& service)
{
    const bool local = std::ranges::any_of(
        this->replicas.of(service), [this](const entry_pointer& one)
        { return one->target.domain == this->own_domain; });
    this->demand.note(this->group_of(service), local, now());
}

template <target_codec Codec>
std::set<demand_group> target_pool<Codec>::limited_groups() const
{
    std::set<demand_group> groups;
    for (const auto& [id, one] : this->replicas.all())
    {
        if (one->limit)
        {
            groups.insert(this->group_of(one->target.service));
        }
    }
    return groups;
}

template <target_codec Codec>
std::vector<host_demand>
target_pool<Codec>::demands(const std::set<demand_group>& groups)
{
    return this->demand.measure(groups, now());
}

template <target_codec Codec>
void target_pool<Codec>::set_limit_sharers(std::vector<demanding_host> sharers,
                                           std::vector<host_demand> settled,
                                           std::size_t domains)
{
    this->shares.set_hosts(std::move(sharers), std::move(settled), domains);
    this->apply_all_limits();
}

template <target_codec Codec>
void target_pool<Codec>::apply_all_limits()
{
    for (const auto& [id, one] : this->replicas.all())
    {
        this->apply_limit(one);
    }
}

// Sets a replica's bucket to this host's share of the limit in force.
template <target_codec Codec>
void target_pool<Codec>::apply_limit(const entry_pointer& one)
{
    const instant time = now();
    const auto limit = this->limits.find(one->target.id, time);
    const auto cold = this->cold_share(*one, time);
    one->cold_limit = cold.has_value();
    if (!limit && !cold)
    {
        one->limit.reset();
        return;
    }
    limit_share share = cold.value_or(limit_share{});
    if (limit)
    {
        const limit_share named =
            this->shares.share_of({one->target.id,
                                   one->target.domain,
                                   this->group_of(one->target.service),
                                   *limit,
                                   {}});
        share = cold ? within_both(named, *cold) : named;
    }
    if (!one->limit)
    {
        one->limit.emplace();
    }
    one->limit->set(share.rate, share.depth, time);
}

// Returns this host's share of what a replica bears while it is cold; nothing
// when it is warm or nothing limits the requests of cold replicas.
template <target_codec Codec>
std::optional<limit_share> target_pool<Codec>::cold_share(const entry& one,
                                                          instant time)
{
    const service_rule* const rule =
        one.health.cold(time) ? this->rule_of(one) : nullptr;
    const auto limit =
        rule ? cold_limit_of(rule->cold_rate, this->cold_bound) : std::nullopt;
    if (!limit)
    {
        return std::nullopt;
    }
    return this->cold_sharers_known
               ? this->shares.share_of({one.target.id, one.target.domain,
                                        this->group_of(one.target.service),
                                        limit->rate, limit->burst})
               : limit_share{};
}

// Takes over the cold time of an entry, unless the entry only repeats that the
// replica is warm, or was written before the replica was assumed cold: what the
// replica answered, or the assumption, is newer.
template <target_codec Codec>
void target_pool<Codec>::update_warmup(const entry_pointer& known,
                                       const replica& listed,
                                       store_position as_of)
{
    const bool assumed = known->assumed_cold_at.has_value();
    const bool outdated = assumed && as_of <= *known->assumed_cold_at;
    const bool repeated = !assumed && listed.warmup == milliseconds(0) &&
                          known->target.warmup == milliseconds(0);
    if (!outdated && !repeated)
    {
        known->assumed_cold_at.reset();
        this->set_warmup(known, listed.warmup);
    }
}

// Records for how much longer a replica is cold, and limits its requests.
template <target_codec Codec>
void target_pool<Codec>::set_warmup(const entry_pointer& one, milliseconds left)
{
    const instant time = now();
    const bool before = one->health.cold(time);
    one->health.set_warmup(left, time);
    this->apply_limit(one);
    if (before != one->health.cold(time))
    {
        log_event(log_level::info, before ? "replica_warm" : "replica_cold",
                  {{"replica", one->target.id.value},
                   {"service", one->target.service.value},
                   {"left_ms", left.count()},
                   {"limited", one->cold_limit}});
    }
}

template <target_codec Codec>
void target_pool<Codec>::set_cold_bound(const cold_excess& bound)
{
    this->cold_bound = bound;
    this->apply_all_limits();
}

template <target_codec Codec>
void target_pool<Codec>::set_cold_sharers_known(bool known)
{
    if (this->cold_sharers_known != known)
    {
        this->cold_sharers_known = known;
        this->apply_all_limits();
    }
}

template <target_codec Codec>
std::size_t target_pool<Codec>::cold_replica_count() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->replicas.all(), [](const auto& one)
                              { return one.second->cold_limit; }));
}

template <target_codec Codec>
demand_group target_pool<Codec>::group_of(const service_name& service) const
{
    return demand_group_of(this->first_of_group(service).value);
}

// Returns the first of the services that are called together with this one.
template <target_codec Codec>
const service_name&
target_pool<Codec>::first_of_group(const service_name& service) const
{
    return this->table ? this->table->first_of_group(service) : service;
}

// Counts a send if the replica names a limit.
template <target_codec Codec>
void target_pool<Codec>::note_send(const leaf_id& replica, call_purpose purpose)
{
    if (this->limits.find(replica, now()))
    {
        this->limited.note(replica, purpose);
    }
}

template <target_codec Codec>
void target_pool<Codec>::log_limited_sends()
{
    const instant time = now();
    this->limits.expire(time);
    const limited_sends::report recent =
        this->limited.take_report(this->limits, time);
    if (recent.sends == 0)
    {
        return;
    }
    log_event(log_level::info, "limited_sends",
              {{"replicas", recent.replicas},
               {"sends", recent.sends},
               {"busiest", recent.busiest.value},
               {"busiest_sends", recent.busiest_sends},
               {"busiest_rate", recent.busiest_rate.value}});
}

} // namespace basilpath
