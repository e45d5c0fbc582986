#include "node/process/delegate_pool.hpp"

#include "process/log.hpp"
#include "version/rendezvous.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace basilpath
{

namespace
{

// One link to each failure domain is used, the other is a standby.
constexpr std::size_t links_per_domain = 2;

// A link on which a host has been silent for this long is closed. A live host
// sends a hello on the new one.
constexpr microseconds silence_limit{1'000'000};

} // namespace

delegate_pool::delegate_pool(peer_address own, sender send)
    : own(std::move(own)), send_message(std::move(send))
{
}

void delegate_pool::set_hosts(std::span<const delegate> delegates)
{
    std::erase_if(this->hosts,
                  [delegates](const auto& known) {
                      return std::ranges::find(delegates, known.second.host) ==
                             delegates.end();
                  });
    for (const delegate& one : delegates)
    {
        this->hosts.try_emplace(one.address, state{one, false, {}, {}});
    }
}

std::vector<delegate> delegate_pool::link_targets() const
{
    std::set<failure_domain> domains;
    for (const auto& [address, one] : this->hosts)
    {
        domains.insert(one.host.domain);
    }
    std::vector<delegate> result;
    for (const failure_domain& domain : domains)
    {
        const auto order = this->by_preference(domain);
        for (const state* const one :
             std::span(order).first(std::min(order.size(), links_per_domain)))
        {
            result.push_back(one->host);
        }
    }
    return result;
}

std::optional<delegate>
delegate_pool::usable_in(const failure_domain& domain) const
{
    const auto order = this->by_preference(domain);
    const auto found = std::ranges::find_if(order, &state::usable);
    return found == order.end() ? std::nullopt : std::optional((*found)->host);
}

std::vector<failure_domain> delegate_pool::usable_domains() const
{
    std::set<failure_domain> domains;
    for (const auto& [address, one] : this->hosts)
    {
        if (one.usable())
        {
            domains.insert(one.host.domain);
        }
    }
    return {domains.begin(), domains.end()};
}

subquery_number delegate_pool::send(const peer_address& to, subquery request,
                                    listener report_handler)
{
    const subquery_number number(++this->last_number);
    request.number = number;
    pending_subquery added{to, std::move(report_handler), {}, {}};
    std::ranges::transform(request.shards, std::back_inserter(added.shards),
                           &subquery_shard::shard);
    const auto position = this->send_message(to, request);
    if (!position)
    {
        report_unsent(number, added);
        return number;
    }
    added.position = *position;
    this->pending.emplace(number, std::move(added));
    return number;
}

void delegate_pool::cancel_shard(subquery_number number, std::size_t shard)
{
    const auto found = this->pending.find(number);
    if (found != this->pending.end())
    {
        this->send_message(found->second.to,
                           subquery_shard_cancel{number, shard});
    }
}

void delegate_pool::cancel(subquery_number number)
{
    const auto found = this->pending.find(number);
    if (found != this->pending.end())
    {
        this->send_message(found->second.to, subquery_cancel{number});
        this->pending.erase(found);
    }
}

void delegate_pool::remove_subquery(subquery_number number)
{
    this->pending.erase(number);
}

void delegate_pool::note_overdue(subquery_number number, instant now)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end())
    {
        return;
    }
    const auto host = this->hosts.find(found->second.to);
    if (host != this->hosts.end() && !host->second.silent_since)
    {
        host->second.silent_since = now;
        log_event(log_level::info, "delegate_silent",
                  {{"delegate", host->first.value}});
    }
}

microseconds delegate_pool::round_trip(const peer_address& host) const
{
    const auto found = this->hosts.find(host);
    return found == this->hosts.end() ? microseconds(0)
                                      : found->second.round_trip_time;
}

void delegate_pool::on_hello(const peer_address& host)
{
    const auto found = this->hosts.find(host);
    if (found != this->hosts.end())
    {
        found->second.hello_received = true;
        found->second.silent_since.reset();
        log_event(log_level::info, "delegate_linked",
                  {{"delegate", host.value}});
    }
}

void delegate_pool::on_closed(const peer_address& host,
                              std::optional<stream_position> unsent_from)
{
    const auto found = this->hosts.find(host);
    if (found != this->hosts.end() &&
        std::exchange(found->second.hello_received, false))
    {
        log_event(log_level::info, "delegate_lost", {{"delegate", host.value}});
    }
    std::vector<std::pair<subquery_number, pending_subquery>> ended;
    for (auto one = this->pending.begin(); one != this->pending.end();)
    {
        if (one->second.to == host)
        {
            ended.emplace_back(one->first, std::move(one->second));
            one = this->pending.erase(one);
        }
        else
        {
            ++one;
        }
    }
    for (const auto& [number, one] : ended)
    {
        if (unsent_from && one.position >= *unsent_from)
        {
            report_unsent(number, one);
        }
        else
        {
            one.report_handler(number, std::nullopt);
        }
    }
}

// Reports that nothing was sent for the shards of a subquery.
void delegate_pool::report_unsent(subquery_number number,
                                  const pending_subquery& one)
{
    subquery_report report;
    report.number = number;
    std::ranges::transform(
        one.shards, std::back_inserter(report.missing_shards),
        [](std::size_t shard) {
            return missing_shard{shard, missing_reason::not_sent, {}};
        });
    one.report_handler(number, std::move(report));
}

void delegate_pool::on_report(const peer_address& host, subquery_report report,
                              microseconds round_trip)
{
    const auto known = this->hosts.find(host);
    if (known != this->hosts.end())
    {
        known->second.round_trip_time = round_trip;
        if (known->second.silent_since)
        {
            known->second.silent_since.reset();
            log_event(log_level::info, "delegate_speaks",
                      {{"delegate", host.value}});
        }
    }
    const auto found = this->pending.find(report.number);
    if (found != this->pending.end() && found->second.to == host)
    {
        // Copied, because the listener may remove the subquery.
        const listener report_handler = found->second.report_handler;
        const subquery_number number = report.number;
        report_handler(number, std::move(report));
    }
}

bool delegate_pool::link_timed_out(const peer_address& host, instant now) const
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && found->second.silent_since &&
           now - *found->second.silent_since > silence_limit;
}

std::size_t delegate_pool::outstanding(const peer_address& host) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->pending, [&host](const auto& one)
                              { return one.second.to == host; }));
}

// Returns the hosts of a failure domain in this host's order of preference.
std::vector<const delegate_pool::state*>
delegate_pool::by_preference(const failure_domain& domain) const
{
    std::vector<std::pair<std::uint64_t, const state*>> ranked;
    for (const auto& [address, one] : this->hosts)
    {
        if (one.host.domain == domain)
        {
            ranked.emplace_back(rendezvous_hash(this->own.value, address.value),
                                &one);
        }
    }
    std::ranges::sort(ranked);
    std::vector<const state*> result;
    std::ranges::transform(ranked, std::back_inserter(result),
                           [](const auto& one) { return one.second; });
    return result;
}

} // namespace basilpath
