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

// Links to each failure domain: one is used, one stands by.
constexpr std::size_t links_a_domain = 2;

// A link on which a host has been silent for this long is given up; a host that
// lives greets on a new one.
constexpr microseconds silence_limit{1'000'000};

} // namespace

delegate_pool::delegate_pool(peer_address own, sender send)
    : own(std::move(own)), send_message(std::move(send))
{
}

void delegate_pool::set_hosts(std::span<const delegate> wanted)
{
    std::erase_if(this->hosts,
                  [wanted](const auto& known) {
                      return std::ranges::find(wanted, known.second.host) ==
                             wanted.end();
                  });
    for (const delegate& one : wanted)
    {
        this->hosts.try_emplace(one.address, state{one, false, {}, {}});
    }
}

std::vector<delegate> delegate_pool::linked() const
{
    std::set<failure_domain> domains;
    for (const auto& [address, one] : this->hosts)
    {
        domains.insert(one.host.domain);
    }
    std::vector<delegate> result;
    for (const failure_domain& domain : domains)
    {
        const auto order = this->ordered(domain);
        for (const state* const one :
             std::span(order).first(std::min(order.size(), links_a_domain)))
        {
            result.push_back(one->host);
        }
    }
    return result;
}

std::optional<delegate>
delegate_pool::usable_in(const failure_domain& domain) const
{
    const auto order = this->ordered(domain);
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

subquery_number delegate_pool::send(const peer_address& to, subquery asked,
                                    listener told)
{
    const subquery_number number(++this->last_number);
    asked.number = number;
    this->open.emplace(number, order{to, std::move(told)});
    this->send_message(to, asked);
    return number;
}

void delegate_pool::cancel_shard(subquery_number number, std::size_t shard)
{
    const auto found = this->open.find(number);
    if (found != this->open.end())
    {
        this->send_message(found->second.to,
                           subquery_shard_cancel{number, shard});
    }
}

void delegate_pool::cancel(subquery_number number)
{
    const auto found = this->open.find(number);
    if (found != this->open.end())
    {
        this->send_message(found->second.to, subquery_cancel{number});
        this->open.erase(found);
    }
}

void delegate_pool::remove_subquery(subquery_number number)
{
    this->open.erase(number);
}

void delegate_pool::note_overdue(subquery_number number, instant now)
{
    const auto found = this->open.find(number);
    if (found == this->open.end())
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
    return found == this->hosts.end() ? microseconds(0) : found->second.trip;
}

void delegate_pool::on_hello(const peer_address& host)
{
    const auto found = this->hosts.find(host);
    if (found != this->hosts.end())
    {
        found->second.greeted = true;
        found->second.silent_since.reset();
        log_event(log_level::info, "delegate_linked",
                  {{"delegate", host.value}});
    }
}

void delegate_pool::on_closed(const peer_address& host)
{
    const auto found = this->hosts.find(host);
    if (found != this->hosts.end() &&
        std::exchange(found->second.greeted, false))
    {
        log_event(log_level::info, "delegate_lost", {{"delegate", host.value}});
    }
    std::vector<std::pair<subquery_number, listener>> ended;
    for (auto one = this->open.begin(); one != this->open.end();)
    {
        if (one->second.to == host)
        {
            ended.emplace_back(one->first, std::move(one->second.told));
            one = this->open.erase(one);
        }
        else
        {
            ++one;
        }
    }
    for (const auto& [number, told] : ended)
    {
        told(number, std::nullopt);
    }
}

void delegate_pool::on_report(const peer_address& host, subquery_report report,
                              microseconds round_trip)
{
    const auto known = this->hosts.find(host);
    if (known != this->hosts.end())
    {
        known->second.trip = round_trip;
        if (known->second.silent_since)
        {
            known->second.silent_since.reset();
            log_event(log_level::info, "delegate_speaks",
                      {{"delegate", host.value}});
        }
    }
    const auto found = this->open.find(report.number);
    if (found != this->open.end() && found->second.to == host)
    {
        // The listener may end the subquery.
        const listener told = found->second.told;
        const subquery_number number = report.number;
        told(number, std::move(report));
    }
}

bool delegate_pool::link_spent(const peer_address& host, instant now) const
{
    const auto found = this->hosts.find(host);
    return found != this->hosts.end() && found->second.silent_since &&
           now - *found->second.silent_since > silence_limit;
}

std::size_t delegate_pool::outstanding(const peer_address& host) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->open, [&host](const auto& one)
                              { return one.second.to == host; }));
}

// The hosts of a failure domain in the order of preference of this host.
std::vector<const delegate_pool::state*>
delegate_pool::ordered(const failure_domain& domain) const
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
